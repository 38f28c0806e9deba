/** Lint rules for all files. A comment gives the reason for each option that differs from a plugin's default. */
import js from '@eslint/js';
import { defineConfig } from 'eslint/config';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import topazpin from './tools/eslint-rules.mjs';

/** The packages in `src`, lowest layer first. Each may import only packages that precede it. */
const PACKAGES = [
  'units',
  'wire',
  'config',
  'net',
  'store',
  'peer',
  'relay',
  'fleet',
  'placer',
  'cloud',
  'ledger',
  'capacity',
  'leader',
  'api',
  'cli',
];

const layeredImports = PACKAGES.map((name, i) => ({
  files: [`src/${name}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          ...PACKAGES.slice(i + 1).map((p) => `../${p}/*`),
          '../controller.js',
          '../servers.js',
          '../main.js',
        ],
      },
    ],
  },
}));

const LINE_COUNT_OPTIONS = { skipBlankLines: true, skipComments: true };

/** Size and complexity limits by file pattern. */
export const LIMITS = [
  {
    files: ['src/**/*.ts'],
    values: { complexity: 12, 'max-lines': 300, 'max-lines-per-function': 50 },
  },
  {
    // Tables of test cases are long, but are read from top to bottom.
    files: ['test/**/*.ts', 'tools/**', 'eslint.config.js'],
    values: { complexity: 12, 'max-lines': 400, 'max-lines-per-function': 150 },
  },
];

/** Converts limits to entries of `rules`. */
export const limits = (values) =>
  Object.fromEntries(
    Object.entries(values).map(([rule, max]) => [
      rule,
      ['error', rule === 'complexity' ? { max } : { max, ...LINE_COUNT_OPTIONS }],
    ]),
  );

/** Requires a doc comment on every export and at the top of every file. */
const documentationRules = {
  plugins: { jsdoc, topazpin },
  rules: {
    'topazpin/module-comment': 'error',
    'jsdoc/require-jsdoc': [
      'error',
      {
        publicOnly: { esm: true, cjs: false, window: false },
        // The fixer would insert empty comments.
        enableFixer: false,
        // Most method names are self-explanatory, and the class has a comment.
        require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: false },
        contexts: [
          'TSInterfaceDeclaration',
          // A type derived from the value of the same name is documented by the comment of that value.
          'TSTypeAliasDeclaration:not([typeAnnotation.type="TSIndexedAccessType"]):not([typeAnnotation.typeName.right.name="infer"])',
          'TSEnumDeclaration',
          // Likewise, a function that only casts to the branded type of its name is documented by that type.
          'ExportNamedDeclaration > VariableDeclaration:not(:has(> VariableDeclarator[id.name=/^[A-Z][a-z]/][init.type="ArrowFunctionExpression"]))',
        ],
      },
    ],
    'jsdoc/no-blank-blocks': 'error',
    'jsdoc/require-description': ['error', { contexts: ['any'] }],
    'jsdoc/check-alignment': 'error',
  },
};

const config = [
  { ignores: ['target/', 'node_modules/', 'journal/'] },
  { linterOptions: { reportUnusedDisableDirectives: 'error' } },
  js.configs.recommended,
  documentationRules,
  {
    files: ['**/*.ts'],
    extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { project: './tsconfig.test.json', tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      // Callback parameters that aren't used are named all the same.
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      // `() => timer.cancel()` isn't confusing: the type of its result is `void` as well.
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
      // In `path.join('.') || 'file'`, an empty string also means that there is no value.
      '@typescript-eslint/prefer-nullish-coalescing': [
        'error',
        { ignorePrimitives: { string: true } },
      ],
      // Numbers are as clear as strings in a template. Objects and values that may be undefined stay forbidden.
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
    },
  },
  {
    files: ['**/*.js', '**/*.mjs', '**/*.cjs'],
    extends: [tseslint.configs.strict, tseslint.configs.stylistic],
  },
  { rules: { eqeqeq: 'error' } },
  ...layeredImports,
  {
    files: ['src/**/*.ts'],
    rules: {
      // TypeScript keeps the narrowed type of a field across an `await`, although the value may change during it. The
      // rule reported six conditions in src, all of them necessary checks that are repeated after an `await`.
      '@typescript-eslint/no-unnecessary-condition': 'off',
      // This rule asks for `!`, which `no-non-null-assertion` forbids. `as` at least names the type.
      '@typescript-eslint/non-nullable-type-assertion-style': 'off',
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'default', format: ['camelCase'], leadingUnderscore: 'allow' },
        { selector: 'variable', format: ['camelCase', 'UPPER_CASE', 'PascalCase'] },
        { selector: 'import', format: null },
        { selector: 'function', format: ['camelCase', 'PascalCase'] },
        { selector: 'typeLike', format: ['PascalCase'] },
        { selector: ['property', 'objectLiteralMethod', 'typeProperty'], format: null },
        { selector: 'parameter', format: ['camelCase'], leadingUnderscore: 'allow' },
      ],
    },
  },
  {
    files: ['src/**/*.ts'],
    ignores: ['src/wire/**'],
    rules: { 'topazpin/protocol-words': 'error' },
  },
  ...LIMITS.map(({ files, values }) => ({ files, rules: limits(values) })),
  {
    files: ['test/**/*.ts'],
    rules: {
      // A test fails where it encounters undefined, which is the desired outcome.
      '@typescript-eslint/no-non-null-assertion': 'off',
      // A test double has only the members that its test needs. The compiler still checks their types.
      '@typescript-eslint/no-unsafe-class-instance-assignment': 'off',
    },
  },
  {
    files: ['tools/**'],
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        Buffer: 'readonly',
        require: 'readonly',
        __dirname: 'readonly',
        URL: 'readonly',
        setTimeout: 'readonly',
      },
    },
  },
  {
    files: ['tools/**/*.cjs'],
    languageOptions: { sourceType: 'commonjs' },
    // The rule is for ES modules; a CommonJS script can only use `require`.
    rules: { '@typescript-eslint/no-require-imports': 'off' },
  },
];

/**
 * EXCEPTIONS: files that still exceed a limit, as [file, rule, value, reason].
 *
 * The value is the current one of the file, so it can only decrease. `npm run limits` prints missing and outdated
 * entries. New code gets no exception: it must be split instead.
 */
// prettier-ignore
export const EXCEPTIONS = [
];

export default defineConfig(
  ...config,
  EXCEPTIONS.map(([file, rule, value]) => ({ files: [file], rules: limits({ [rule]: value }) })),
);
