/**
 * Measures how a workspace that sends ten times its rate (a noisy neighbour) affects a workspace within its
 * rate: failed requests, and the 99th percentile of the time to the first byte. Runs with and without the
 * noisy neighbour alternate.
 */
import { type Fleet, type FleetPlan, startFleet } from '../tests/stand-ins/fleet.js';
import { createSmallFleetPlan, MILL_KEY, SHOP_KEY } from '../tests/stand-ins/fleetPlans.js';
import { getQuantile, printFigure } from './figures.js';
import { type LoadTarget, runAtRate, type Sample } from './load.js';

const ROUNDS = 3;
const DURATION_MS = 8_000;
const MAX_TOKENS = 8;
const PROMPT = 'A quotation for tape';
const REQUEST_COST_TOKENS = 13;
const QUIET_REQUESTS_PER_SECOND = 40;
const FLOOD_TOKENS_PER_SECOND = 1_000;
const FLOOD_FACTOR = 10;
const TARGET_RATIO = 1.1;

function createPlan(): FleetPlan {
  const plan = createSmallFleetPlan({ tokenMs: 2, maxBatch: 64, maxQueue: 256 });
  const [mill, shop] = plan.workspaces;
  return {
    ...plan,
    workspaces: [
      { ...mill!, rateTokensPerSecond: 4_000, burstTokens: 40_000 },
      {
        ...shop!,
        rateTokensPerSecond: FLOOD_TOKENS_PER_SECOND,
        burstTokens: FLOOD_TOKENS_PER_SECOND,
      },
    ],
  };
}

function createTarget(fleet: Fleet, vm: number, key: string, model: string): LoadTarget {
  return {
    url: `${fleet.daemons[vm]!.callerUrl}/v1/completions`,
    body: JSON.stringify({ model, prompt: PROMPT, max_tokens: MAX_TOKENS, stream: true }),
    headers: { authorization: `Bearer ${key}` },
    endMarker: '[DONE]',
  };
}

/** Returns the samples of the workspace within its rate, with or without the noisy neighbour. */
async function runLoad(fleet: Fleet, isFlooded: boolean): Promise<Sample[]> {
  const vms = fleet.daemons.map((_, vm) => vm);
  const quietTargets = vms.map((vm) => createTarget(fleet, vm, MILL_KEY, 'quotation'));
  const floodTargets = vms.map((vm) => createTarget(fleet, vm, SHOP_KEY, 'stock'));
  const floodRequestsPerSecond =
    (FLOOD_TOKENS_PER_SECOND * FLOOD_FACTOR) / REQUEST_COST_TOKENS / vms.length;
  const [samples] = await Promise.all([
    runAtRate(quietTargets, QUIET_REQUESTS_PER_SECOND, DURATION_MS),
    isFlooded ? runAtRate(floodTargets, floodRequestsPerSecond, DURATION_MS) : Promise.resolve([]),
  ]);
  return samples.flat();
}

function getP99(samples: readonly Sample[]): number {
  return getQuantile(
    samples.map(({ firstByteMs }) => firstByteMs),
    0.99,
  );
}

/** Prints the figures of the runs with and without the noisy neighbour. */
export async function runNeighbour(): Promise<void> {
  const fleet = await startFleet(createPlan());
  await runLoad(fleet, true);
  const quiet: Sample[] = [];
  const flooded: Sample[] = [];
  const ratios: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const before = await runLoad(fleet, false);
    const during = await runLoad(fleet, true);
    quiet.push(...before);
    flooded.push(...during);
    ratios.push(getP99(during) / getP99(before));
  }
  printFigure('quiet_first_byte_p99', getP99(quiet), 'ms');
  printFigure('flooded_first_byte_p99', getP99(flooded), 'ms');
  printFigure('p99_ratio_median_of_rounds', getQuantile(ratios, 0.5), 'times', TARGET_RATIO);
  const failures = flooded.filter(({ isSuccessful }) => !isSuccessful).length;
  printFigure('neighbour_refused_or_wrong', failures, `of ${flooded.length} requests`, 0);
  await fleet.stop();
}
