/** The lint rules of this project, `tools/eslint-rules.mjs`. */
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

/** `words`: those that are reported, in their order. */
const withWords = ([name, code, words]: [name: string, code: string, words: string[]]) => ({
  name,
  code,
  errors: words.map((word) => ({ messageId: 'word', data: { word } })),
});

tester.run('protocol-words', ruleNamed('protocol-words'), {
  valid: [
    { name: 'plain names', code: 'const team = job.team;' },
    { name: 'a word as a part of a name', code: 'const deskOf = hallway.boxed;' },
    { name: 'another case', code: 'const Desk = job.DESK;' },
    { name: 'a word in a text', code: "log.info('the desk of a box');" },
    { name: 'a text that is a word, but not the name of a field', code: "log.info('desk');" },
    { name: 'a word in a comment', code: '// desk\nconst team = 1;' },
    { name: 'a word as the value of a field', code: "const job = { kind: 'desk' };" },
    { name: 'a name that is put together', code: 'const value = job[`${prefix}desk`];' },
  ],
  invalid: [
    withWords(['a variable', 'const desk = 1;', ['desk']]),
    withWords(['a parameter', 'function find(box: string) {}', ['box']]),
    withWords(['a type', 'type T = clerk;', ['clerk']]),
    withWords(['a field that is read', 'const team = job.desk;', ['desk']]),
    withWords(['the key of a field', 'const job = { vcpus: 4 };', ['vcpus']]),
    withWords(['a key that is also the value', 'const job = { hall };', ['hall']]),
    withWords(['a field that is taken apart', 'const { desk: team } = job;', ['desk']]),
    withWords(['a private field', 'class Job { #tally = 0; }', ['tally']]),
    withWords(['a method', 'class Job { docket() {} }', ['docket']]),
    withWords(['a field of a type', 'interface Job { ram_gb: number }', ['ram_gb']]),
    withWords(['a key in quotes', "const job = { 'recall_s': 1 };", ['recall_s']]),
    withWords(['a field of a class in quotes', "class Job { 'size_gb' = 1; }", ['size_gb']]),
    withWords(['a type field in quotes', "interface Job { 'due_s': number }", ['due_s']]),
    withWords(['a field by its name', "const team = job['desk'];", ['desk']]),
    withWords(['a field by its name in backquotes', 'const team = job[`desk`];', ['desk']]),
    withWords(["a type's field by its name", "type Team = Job['desk'];", ['desk']]),
    withWords(['whether a field exists', "const has = 'baton' in message;", ['baton']]),
    withWords(['several', 'const box = job.desk;', ['box', 'desk']]),
  ],
});

const failing =
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
      name: 'a comment of its own for the first declaration',
      code: '/** For. */\n/** A. */\nlet a;',
    },
    { name: 'a comment of several lines', code: '/**\n * For.\n */\n\nlet a;' },
    { name: 'a comment below a shebang', code: "#!/usr/bin/env node\n/** For. */\nimport 'a';" },
    { name: 'a comment above a directive', code: "/** For. */\n'use strict';" },
    { name: 'a file that is nothing but its comment', code: '/** For. */' },
  ],
  invalid: [
    ...(
      [
        ['an empty file', ''],
        ['no comment', "import 'a';"],
        ['a line comment', "// For.\nimport 'a';"],
        ['a block comment that is no doc comment', "/* For. */\nimport 'a';"],
        ['a comment below the first statement', "import 'a';\n/** For. */"],
        ['a line comment above the doc comment', "// License.\n/** For. */\nimport 'a';"],
        ['nothing but a shebang', '#!/usr/bin/env node\n'],
      ] as [string, string][]
    ).map(failing('missing')),
    ...(
      [
        ['the comment of the first declaration', '/** A. */\nexport const a = 1;'],
        ['a line comment between', '/** A. */\n// B.\nexport const a = 1;'],
      ] as [string, string][]
    ).map(failing('ofDeclaration')),
  ],
});
