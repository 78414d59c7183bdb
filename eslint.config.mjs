// Uses the Airbnb rules, restricts imports between the layers to one direction, and disables the rules for
// line layout, which Prettier decides.
import prettier from 'eslint-config-prettier';
import { configs, plugins } from 'eslint-config-airbnb-extended';

const layers = ['state', 'coordination', 'protocol', 'transport'];

// Each layer may import from itself and from the layers before it in the list.
const layerZones = layers.flatMap((layer, index) =>
  layers.slice(index + 1).map((outer) => ({
    target: `./src/${layer}`,
    from: `./src/${outer}`,
    message: `src/${layer} must not import from src/${outer}`,
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
      // The event handlers change the state of the event loop in place.
      'no-param-reassign': ['error', { props: false }],
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use a constant object in place of an enum.' },
        { selector: 'SwitchStatement', message: 'Use a lookup table of handlers.' },
        { selector: 'ForInStatement', message: 'Iterate over Object.keys or Object.entries.' },
      ],
      'no-continue': 'off',
      // The rule lists these as experimental in Node.js 20, but they are tested there and work.
      'n/no-unsupported-features/node-builtins': [
        'error',
        { ignores: ['fetch', 'Headers', 'Response'] },
      ],
      // The rule also reports Effect.runSync, which runs pure programs and does not block on I/O.
      'n/no-sync': 'off',
      'no-void': ['error', { allowAsStatement: true }],
    },
  },
  {
    // Hashing and the seeded random number generator need bitwise operations on 32-bit words.
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
