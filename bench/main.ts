/**
 * Runs one benchmark by its name: `npm run bench -- latency`.
 */
import { runCapacity } from './capacity.js';
import { runIdle } from './idle.js';
import { runLatency } from './latency.js';
import { runNeighbour } from './neighbour.js';
import { runPlacement } from './placement.js';
import { runRouting } from './routing.js';
import { runTokens } from './tokens.js';

const BENCHES: Readonly<Record<string, () => Promise<void> | void>> = {
  latency: runLatency,
  capacity: runCapacity,
  idle: runIdle,
  neighbour: runNeighbour,
  placement: runPlacement,
  routing: runRouting,
  tokens: runTokens,
};

const name = process.argv[2] ?? '';
const bench = BENCHES[name];
if (bench === undefined) {
  process.stderr.write(`Benchmarks: ${Object.keys(BENCHES).join(', ')}\n`);
  process.exit(2);
}
await bench();
process.exit(0);
