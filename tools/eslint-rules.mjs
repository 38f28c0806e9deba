/** Rules of this project for eslint, beside those of its plugins. `eslint.config.js` turns them on. */

/** Words of the outside protocols' messages. Only `src/wire` knows them; the other packages have plain names. */
const PROTOCOL_WORDS = new Set([
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

/** Places in which a string is the name of a field. */
const KEY_STRINGS = [
  ':matches(Property, PropertyDefinition, MethodDefinition, TSPropertySignature, TSMethodSignature) > Literal.key',
  'MemberExpression[computed=true] > Literal.property',
  'MemberExpression[computed=true] > TemplateLiteral.property',
  'TSIndexedAccessType > TSLiteralType.indexType > Literal',
  'BinaryExpression[operator="in"] > Literal.left',
];

const textOf = (node) => {
  if (node.type === 'TemplateLiteral') {
    return node.quasis.length === 1 ? node.quasis[0].value.cooked : undefined;
  }
  return node.type === 'Literal' ? node.value : node.name;
};

const protocolWords = {
  meta: {
    type: 'problem',
    docs: { description: 'Words of the protocol stand in src/wire alone' },
    schema: [],
    messages: {
      word: "'{{word}}' is a word of the protocol: outside src/wire use the plain name.",
    },
  },
  create(context) {
    // `{ desk }` has the same name twice, as the key and as the value.
    const reported = new Set();
    const check = (node) => {
      const word = textOf(node);
      if (!PROTOCOL_WORDS.has(word) || reported.has(node.range[0])) return;
      reported.add(node.range[0]);
      context.report({ node, messageId: 'word', data: { word } });
    };
    return { Identifier: check, PrivateIdentifier: check, [KEY_STRINGS.join(', ')]: check };
  },
};

/** Statements that a comment above them can't be meant for. */
const WITHOUT_DOCS = new Set(['ImportDeclaration', 'ExportAllDeclaration']);

const isDoc = (comment) => comment?.type === 'Block' && comment.value.startsWith('*');

/** Whether the first comment is about the file, and not the doc comment of the first declaration. */
const isOfFile = (comment, source) => {
  const [first] = source.ast.body;
  if (first === undefined || WITHOUT_DOCS.has(first.type) || first.directive !== undefined)
    return true;
  const next = source.getTokenAfter(comment, { includeComments: true });
  return next.type === 'Block' || next.loc.start.line > comment.loc.end.line + 1;
};

const moduleComment = {
  meta: {
    type: 'suggestion',
    docs: { description: 'Each file says at its head what it is for' },
    schema: [],
    messages: {
      missing: 'The file has no comment at its head that says what it is for.',
      ofDeclaration:
        'The comment at the head documents the first declaration: put one of the file above it, or an empty line below.',
    },
  },
  create(context) {
    const source = context.sourceCode;
    return {
      Program() {
        const head = source.getAllComments().find((c) => c.type !== 'Shebang');
        const body = source.ast.body[0];
        const loc = { line: 1, column: 0 };
        if (!isDoc(head) || (body !== undefined && head.range[0] > body.range[0])) {
          context.report({ loc, messageId: 'missing' });
        } else if (!isOfFile(head, source)) {
          context.report({ loc, messageId: 'ofDeclaration' });
        }
      },
    };
  },
};

/** The plugin, named `topazpin` in the configuration. */
export default {
  rules: { 'protocol-words': protocolWords, 'module-comment': moduleComment },
};
