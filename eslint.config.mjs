// Airbnb rules, plus the one that keeps imports between the layers pointing one way. Line layout is
// the formatter's.
import prettier from 'eslint-config-prettier';
import { configs, plugins } from 'eslint-config-airbnb-extended';

const layers = ['state', 'coordination', 'protocol', 'transport'];

// Each layer may import from itself and from those before it in the list.
const layerZones = layers.flatMap((layer, index) =>
  layers.slice(index + 1).map((outer) => ({
    target: `./src/${layer}`,
    from: `./src/${outer}`,
    message: `${layer} must not import ${outer}`,
  })),
);

export default [
  { ignores: ['dist/**', 'target/**', 'node_modules/**', 'src/protocol/gen/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    rules: {
      // NodeNext resolution requires the extension of the emitted file.
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-restricted-paths': ['error', { zones: layerZones }],
      // The state of the loop is owned by it and changed in place by its handlers.
      'no-param-reassign': ['error', { props: false }],
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use a constant object in place of an enum.' },
        { selector: 'SwitchStatement', message: 'Use a lookup table of handlers.' },
        { selector: 'ForInStatement', message: 'Iterate over Object.keys or Object.entries.' },
      ],
      'no-continue': 'off',
      // Tested on Node.js 20, where fetch works.
      'n/no-unsupported-features/node-builtins': [
        'error',
        { ignores: ['fetch', 'Headers', 'Response'] },
      ],
      // Effect.runSync runs a pure program; no file or process call is synchronous here.
      'n/no-sync': 'off',
      'no-void': ['error', { allowAsStatement: true }],
    },
  },
  {
    // Hashing and the seeded generator work on 32-bit words.
    files: ['src/state/random.ts'],
    rules: { 'no-bitwise': 'off' },
  },
  {
    files: ['src/bin/**/*.ts', 'demo/**/*.ts', 'bench/**/*.ts'],
    rules: { 'n/no-process-exit': 'off' },
  },
  {
    files: ['tests/**/*.ts', 'bench/**/*.ts', 'demo/**/*.ts'],
    rules: { 'no-console': 'off', 'no-await-in-loop': 'off' },
  },
];
