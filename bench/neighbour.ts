/**
 * What a workspace within its rate feels of another that sends ten times its own: refusals and the 99th
 * percentile of its first token, against quiet runs in between.
 */
import { type Fleet, type FleetPlan, startFleet } from '../tests/stand-ins/fleet.js';
import { createSmallPlan, MILL_KEY, SHOP_KEY } from '../tests/stand-ins/plans.js';
import { getQuantile, printFigure } from './figures.js';
import { type LoadTarget, runAtRate, type Sample } from './load.js';

const ROUNDS = 3;
const DURATION_MS = 8_000;
const MAX_TOKENS = 8;
const PROMPT = 'A quotation for tape';
const COST_TOKENS = 13;
const QUIET_RATE = 40;
const FLOOD_TOKENS_PER_SECOND = 1_000;
const FLOOD_FACTOR = 10;
const TARGET_RATIO = 1.1;

function createPlan(): FleetPlan {
  const plan = createSmallPlan({ tokenMs: 2, maxBatch: 64, maxQueue: 256 });
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
    endMark: '[DONE]',
  };
}

async function runOnce(fleet: Fleet, isFlooded: boolean): Promise<Sample[]> {
  const vms = fleet.daemons.map((_, vm) => vm);
  const quiet = vms.map((vm) => createTarget(fleet, vm, MILL_KEY, 'quotation'));
  const flood = vms.map((vm) => createTarget(fleet, vm, SHOP_KEY, 'stock'));
  const floodRate = (FLOOD_TOKENS_PER_SECOND * FLOOD_FACTOR) / COST_TOKENS / vms.length;
  const [samples] = await Promise.all([
    runAtRate(quiet, QUIET_RATE, DURATION_MS),
    isFlooded ? runAtRate(flood, floodRate, DURATION_MS) : Promise.resolve([]),
  ]);
  return samples.flat();
}

function getP99(samples: readonly Sample[]): number {
  return getQuantile(
    samples.map(({ firstByteMs }) => firstByteMs),
    0.99,
  );
}

/** Prints the figures of quiet and flooded runs in turn. */
export async function runNeighbour(): Promise<void> {
  const fleet = await startFleet(createPlan());
  await runOnce(fleet, true);
  const quiet: Sample[] = [];
  const flooded: Sample[] = [];
  const ratios: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const before = await runOnce(fleet, false);
    const during = await runOnce(fleet, true);
    quiet.push(...before);
    flooded.push(...during);
    ratios.push(getP99(during) / getP99(before));
  }
  printFigure('quiet_first_byte_p99', getP99(quiet), 'ms');
  printFigure('flooded_first_byte_p99', getP99(flooded), 'ms');
  printFigure('p99_ratio_median_of_rounds', getQuantile(ratios, 0.5), 'times', TARGET_RATIO);
  const wrong = flooded.filter(({ isRight }) => !isRight).length;
  printFigure('neighbour_refused_or_wrong', wrong, `of ${flooded.length} requests`, 0);
  await fleet.stop();
}
