/**
 * Measures how many requests a simulated fleet refuses although one central token bucket would admit them,
 * at several loads below the workspace's rate. Only the decision code runs.
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
const RATE_TOKENS_PER_SECOND = 2_000;
const BURST_TOKENS = 20_000;
const REQUESTS_PER_GROUP = 5;
const MEAN_TOKENS = 300;
const START_MS = 20_000;
const END_MS = 140_000;
const SEEDS = [1, 2, 3, 4, 5];
const TARGET_PERCENT = 0.5;

function simulateUtilization(
  utilization: number,
  seed: number,
): { refused: number; withinRate: number; excessTokens: number } {
  const workspaces = [
    createTestWorkspace('mill', {
      rateTokensPerSecond: RATE_TOKENS_PER_SECOND,
      burstTokens: BURST_TOKENS,
    }),
  ];
  const document = createTestDocument({ workspaces });
  const fleet = createSimulatedFleet({ vms: VMS, document, loadedModels: [TEST_MODEL_TAG], seed });
  const random = createRandom(seed);
  const bucket = createCentralBucket(BURST_TOKENS, RATE_TOKENS_PER_SECOND);
  const meanGapMs =
    ((REQUESTS_PER_GROUP * MEAN_TOKENS) / (RATE_TOKENS_PER_SECOND * utilization)) * 1_000;
  let withinRate = 0;
  for (let arrivalMs = START_MS; arrivalMs < END_MS;) {
    const dueMs = Math.floor(arrivalMs);
    for (let i = 0; i < REQUESTS_PER_GROUP; i += 1) {
      const tokens = 1 + nextRandomInt(random, 2 * MEAN_TOKENS - 1);
      const vm = nextRandom(random) < 0.5 ? 0 : nextRandomInt(random, VMS.length);
      if (bucket.take(tokens, dueMs)) {
        const request = createModelRequest(`r${withinRate}`, 'mill', tokens, 0);
        fleet.scheduleAt(dueMs, () => fleet.receiveRequest(vm, request));
        withinRate += 1;
      }
    }
    arrivalMs += -Math.log(1 - nextRandom(random)) * meanGapMs;
  }
  fleet.runUntil(END_MS + 2_000);
  const excessTokens = findExcess(
    fleet.receipts.get('mill') ?? [],
    BURST_TOKENS,
    RATE_TOKENS_PER_SECOND,
  );
  return { refused: withinRate - fleet.admittedRequestIds.size, withinRate, excessTokens };
}

/** Prints the percentage of refused requests and the tokens above the bound at several loads. */
export function runTokens(): void {
  [0.5, 0.75, 0.9].forEach((utilization) => {
    const results = SEEDS.map((seed) => simulateUtilization(utilization, seed));
    const refused = results.reduce((sum, result) => sum + result.refused, 0);
    const withinRate = results.reduce((sum, result) => sum + result.withinRate, 0);
    const percent = (refused / withinRate) * 100;
    printFigure(`refused_within_rate_at_${utilization}`, percent, '%', TARGET_PERCENT);
    const maxExcess = Math.max(...results.map(({ excessTokens }) => excessTokens));
    printFigure(`tokens_over_the_bound_at_${utilization}`, Math.max(0, maxExcess), 'tokens', 0);
  });
}
