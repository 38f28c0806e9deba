/**
 * Checks the lint rules of this project, `tools/eslint-rules.mjs`. A rule that misses a case lets names of the
 * external protocols or files without a comment at their head into the code; a rule that reports too much blocks
 * valid code.
 */
import { resolve } from 'node:path';
import { describe, it } from 'node:test';
import { pathToFileURL } from 'node:url';
import { RuleTester, type ESLint, type Rule } from 'eslint';
import { parser } from 'typescript-eslint';

RuleTester.describe = (text: string, run: () => void) => void describe(text, run);
RuleTester.it = (text: string, run: () => void) => void it(text, run);

const path = pathToFileURL(resolve('tools/eslint-rules.mjs')).href;
const { default: plugin } = (await import(path)) as { default: ESLint.Plugin };
const tester = new RuleTester({ languageOptions: { parser } });

function ruleNamed(name: string): Rule.RuleModule {
  const rule = plugin.rules?.[name];
  if (rule === undefined) throw new Error(`there is no rule ${name}`);
  return rule;
}

/** A case in which the rule reports `words` in this order. */
const reportingWords = ([name, code, words]: [name: string, code: string, words: string[]]) => ({
  name,
  code,
  errors: words.map((word) => ({ messageId: 'word', data: { word } })),
});

tester.run('protocol-words', ruleNamed('protocol-words'), {
  valid: [
    { name: 'plain names', code: 'const team = job.team;' },
    { name: 'a word as part of a name', code: 'const deskOf = hallway.boxed;' },
    { name: 'a word in other letter case', code: 'const Desk = job.DESK;' },
    { name: 'a word in a string', code: "log.info('the desk of a box');" },
    { name: 'a string that equals a word but names no field', code: "log.info('desk');" },
    { name: 'a word in a comment', code: '// desk\nconst team = 1;' },
    { name: 'a word as the value of a field', code: "const job = { kind: 'desk' };" },
    { name: 'a computed name', code: 'const value = job[`${prefix}desk`];' },
  ],
  invalid: [
    reportingWords(['a variable', 'const desk = 1;', ['desk']]),
    reportingWords(['a parameter', 'function find(box: string) {}', ['box']]),
    reportingWords(['a type', 'type T = clerk;', ['clerk']]),
    reportingWords(['a field that is read', 'const team = job.desk;', ['desk']]),
    reportingWords(['the key of a field', 'const job = { vcpus: 4 };', ['vcpus']]),
    reportingWords(['a shorthand property', 'const job = { hall };', ['hall']]),
    reportingWords(['a destructured field', 'const { desk: team } = job;', ['desk']]),
    reportingWords(['a private field', 'class Job { #tally = 0; }', ['tally']]),
    reportingWords(['a method', 'class Job { docket() {} }', ['docket']]),
    reportingWords(['a field of a type', 'interface Job { ram_gb: number }', ['ram_gb']]),
    reportingWords(['a quoted key', "const job = { 'recall_s': 1 };", ['recall_s']]),
    reportingWords(['a quoted class field', "class Job { 'size_gb' = 1; }", ['size_gb']]),
    reportingWords(['a quoted field of a type', "interface Job { 'due_s': number }", ['due_s']]),
    reportingWords(['a field accessed by a string', "const team = job['desk'];", ['desk']]),
    reportingWords([
      'a field accessed by a template string',
      'const team = job[`desk`];',
      ['desk'],
    ]),
    reportingWords(["a type's field accessed by a string", "type Team = Job['desk'];", ['desk']]),
    reportingWords(['a test whether a field exists', "const has = 'baton' in message;", ['baton']]),
    reportingWords(['several words', 'const box = job.desk;', ['box', 'desk']]),
  ],
});

const reportedAs =
  (messageId: string) =>
  ([name, code]: [name: string, code: string]) => ({
    name,
    code,
    errors: [{ messageId }],
  });

tester.run('module-comment', ruleNamed('module-comment'), {
  valid: [
    { name: 'a comment above the imports', code: "/** For. */\nimport a from 'a';" },
    { name: 'a comment above a re-export', code: "/** For. */\nexport * from 'a';" },
    { name: 'an empty line before a declaration', code: '/** For. */\n\nexport const a = 1;' },
    {
      name: 'a second comment for the first declaration',
      code: '/** For. */\n/** A. */\nlet a;',
    },
    { name: 'a comment of several lines', code: '/**\n * For.\n */\n\nlet a;' },
    { name: 'a comment below a shebang', code: "#!/usr/bin/env node\n/** For. */\nimport 'a';" },
    { name: 'a comment above a directive', code: "/** For. */\n'use strict';" },
    { name: 'a file that holds only its comment', code: '/** For. */' },
  ],
  invalid: [
    ...(
      [
        ['an empty file', ''],
        ['no comment', "import 'a';"],
        ['a line comment', "// For.\nimport 'a';"],
        ['a block comment that is not a doc comment', "/* For. */\nimport 'a';"],
        ['a comment below the first statement', "import 'a';\n/** For. */"],
        ['a line comment above the doc comment', "// License.\n/** For. */\nimport 'a';"],
        ['only a shebang', '#!/usr/bin/env node\n'],
      ] as [string, string][]
    ).map(reportedAs('missing')),
    ...(
      [
        ['the comment of the first declaration', '/** A. */\nexport const a = 1;'],
        [
          'a line comment between the doc comment and the declaration',
          '/** A. */\n// B.\nexport const a = 1;',
        ],
      ] as [string, string][]
    ).map(reportedAs('ofDeclaration')),
  ],
});
