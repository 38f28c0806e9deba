/** ESLint rules specific to this project. `eslint.config.js` enables them. */

/** Field names of the external protocols. Only `src/wire` uses them; other packages use descriptive names. */
const PROTOCOL_FIELD_NAMES = new Set([
  'docket',
  'desk',
  'hall',
  'halls',
  'box',
  'boxes',
  'baton',
  'tally',
  'bundle',
  'loaners',
  'recall_s',
  'tenure',
  'hire',
  'clerk',
  'stamp',
  'vcpus',
  'ram_gb',
  'size_gb',
  'expected_s',
  'stamp_every_s',
  'stamp_s',
  'due_s',
  'name_id',
  'how_many',
  'ready_s',
  'spot_price',
  'urgency',
  'wind_down_s',
  'ledger_rev',
]);

/** Selectors of string nodes that name a field. */
const FIELD_NAME_STRINGS = [
  ':matches(Property, PropertyDefinition, MethodDefinition, TSPropertySignature, TSMethodSignature) > Literal.key',
  'MemberExpression[computed=true] > Literal.property',
  'MemberExpression[computed=true] > TemplateLiteral.property',
  'TSIndexedAccessType > TSLiteralType.indexType > Literal',
  'BinaryExpression[operator="in"] > Literal.left',
];

const nameOf = (node) => {
  if (node.type === 'TemplateLiteral') {
    return node.quasis.length === 1 ? node.quasis[0].value.cooked : undefined;
  }
  return node.type === 'Literal' ? node.value : node.name;
};

const protocolWords = {
  meta: {
    type: 'problem',
    docs: { description: 'Restrict field names of the external protocols to src/wire' },
    schema: [],
    messages: {
      word: "'{{word}}' is a field name of an external protocol: use a descriptive name outside src/wire.",
    },
  },
  create(context) {
    // `{ desk }` contains the same identifier twice, as the key and as the value.
    const reported = new Set();
    const check = (node) => {
      const word = nameOf(node);
      if (!PROTOCOL_FIELD_NAMES.has(word) || reported.has(node.range[0])) return;
      reported.add(node.range[0]);
      context.report({ node, messageId: 'word', data: { word } });
    };
    return { Identifier: check, PrivateIdentifier: check, [FIELD_NAME_STRINGS.join(', ')]: check };
  },
};

/** Statements that have no doc comment of their own. */
const UNDOCUMENTED_STATEMENTS = new Set(['ImportDeclaration', 'ExportAllDeclaration']);

const isDocComment = (comment) => comment?.type === 'Block' && comment.value.startsWith('*');

/** Whether the first comment documents the file, rather than the first declaration. */
const isFileComment = (comment, source) => {
  const [first] = source.ast.body;
  if (
    first === undefined ||
    UNDOCUMENTED_STATEMENTS.has(first.type) ||
    first.directive !== undefined
  )
    return true;
  const next = source.getTokenAfter(comment, { includeComments: true });
  return next.type === 'Block' || next.loc.start.line > comment.loc.end.line + 1;
};

const moduleComment = {
  meta: {
    type: 'suggestion',
    docs: { description: 'Require a comment at the top of each file that states its purpose' },
    schema: [],
    messages: {
      missing: 'Missing comment at the top of the file that states its purpose.',
      ofDeclaration:
        'The first comment documents the first declaration: add one for the file above it, or a blank line below it.',
    },
  },
  create(context) {
    const source = context.sourceCode;
    return {
      Program() {
        const firstComment = source.getAllComments().find((c) => c.type !== 'Shebang');
        const firstStatement = source.ast.body[0];
        const loc = { line: 1, column: 0 };
        if (
          !isDocComment(firstComment) ||
          (firstStatement !== undefined && firstComment.range[0] > firstStatement.range[0])
        ) {
          context.report({ loc, messageId: 'missing' });
        } else if (!isFileComment(firstComment, source)) {
          context.report({ loc, messageId: 'ofDeclaration' });
        }
      },
    };
  },
};

/** The ESLint plugin, registered as `topazpin` in the configuration. */
export default {
  rules: { 'protocol-words': protocolWords, 'module-comment': moduleComment },
};
