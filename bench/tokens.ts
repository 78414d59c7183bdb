/**
 * Requests within rate that a fleet refuses, in decision code, at loads up to what one central bucket
 * just admits.
 */
import { createRandom, nextRandom, nextRandomInt } from '../src/state/random.js';
import { createCentralBucket, findExcess } from '../tests/fakes/referenceRateLimit.js';
import {
  createModelRequest,
  createTestDocument,
  createTestWorkspace,
  TEST_MODEL_TAG,
} from '../tests/fakes/documents.js';
import { createSimulatedFleet } from '../tests/fakes/simulatedFleet.js';
import { printFigure } from './figures.js';

const VMS = ['fd-a', 'fd-a', 'fd-a', 'fd-b', 'fd-b', 'fd-b', 'fd-c', 'fd-c'];
const RATE = 2_000;
const BURST = 20_000;
const GROUP = 5;
const MEAN_TOKENS = 300;
const START_MS = 20_000;
const END_MS = 140_000;
const SEEDS = [1, 2, 3, 4, 5];
const TARGET_PERCENT = 0.5;

function runOnce(usage: number, seed: number): { refused: number; within: number; excess: number } {
  const workspaces = [
    createTestWorkspace('mill', { rateTokensPerSecond: RATE, burstTokens: BURST }),
  ];
  const document = createTestDocument({ workspaces });
  const fleet = createSimulatedFleet({ vms: VMS, document, loadedModels: [TEST_MODEL_TAG], seed });
  const random = createRandom(seed);
  const bucket = createCentralBucket(BURST, RATE);
  const meanGapMs = ((GROUP * MEAN_TOKENS) / (RATE * usage)) * 1_000;
  let within = 0;
  for (let atMs = START_MS; atMs < END_MS;) {
    const dueMs = Math.floor(atMs);
    for (let i = 0; i < GROUP; i += 1) {
      const tokens = 1 + nextRandomInt(random, 2 * MEAN_TOKENS - 1);
      const vm = nextRandom(random) < 0.5 ? 0 : nextRandomInt(random, VMS.length);
      if (bucket.take(tokens, dueMs)) {
        const request = createModelRequest(`r${within}`, 'mill', tokens, 0);
        fleet.scheduleAt(dueMs, () => fleet.receiveRequest(vm, request));
        within += 1;
      }
    }
    atMs += -Math.log(1 - nextRandom(random)) * meanGapMs;
  }
  fleet.runUntil(END_MS + 2_000);
  const excess = findExcess(fleet.receipts.get('mill') ?? [], BURST, RATE);
  return { refused: within - fleet.admittedRequestIds.size, within, excess };
}

/** Prints the part that is refused at several loads. */
export function runTokens(): void {
  [0.5, 0.75, 0.9].forEach((usage) => {
    const results = SEEDS.map((seed) => runOnce(usage, seed));
    const refused = results.reduce((sum, result) => sum + result.refused, 0);
    const within = results.reduce((sum, result) => sum + result.within, 0);
    const percent = (refused / within) * 100;
    printFigure(`refused_within_rate_at_${usage}`, percent, '%', TARGET_PERCENT);
    const worst = Math.max(...results.map(({ excess }) => excess));
    printFigure(`tokens_over_the_bound_at_${usage}`, Math.max(0, worst), 'tokens', 0);
  });
}
