/**
 * Measures the latency that one daemon adds to a direct call of the same engine, and the throughput of
 * one daemon.
 */
import { REQUEST_ID_HEADER } from '../src/protocol/engine.js';
import { type Fleet, startFleet } from '../tests/stand-ins/fleet.js';
import { createSmallFleetPlan, MILL_KEY } from '../tests/stand-ins/fleetPlans.js';
import { getQuantile, printFigure } from './figures.js';
import { type LoadTarget, runAtRate, runWorkers, type Sample } from './load.js';

const REQUESTS_PER_SECOND = 200;
const WARM_UP_MS = 3_000;
const DURATION_MS = 10_000;
const WORKERS = 64;
const TARGET_MEDIAN_MS = 1;
const TARGET_P99_MS = 3;

const BODY = JSON.stringify({
  model: 'quotation',
  prompt: 'A quotation for tape',
  max_tokens: 4,
  stream: true,
});

async function startOneDaemon(): Promise<Fleet> {
  const plan = createSmallFleetPlan({
    tokenMs: 1,
    maxBatch: 256,
    maxQueue: 1_024,
    reportLagMs: 50,
  });
  const [engine] = plan.engines;
  return startFleet({
    ...plan,
    daemons: ['fd-a'],
    engines: [engine!],
    workspaces: plan.workspaces.map((workspace) => ({
      ...workspace,
      rateTokensPerSecond: 10_000_000,
      burstTokens: 100_000_000,
    })),
    daemonFlags: ['--log-level', 'info'],
  });
}

function createTargets(fleet: Fleet): { direct: LoadTarget; proxied: LoadTarget } {
  const { url } = [...fleet.engines.values()][0]!;
  const commonOptions = { body: BODY, endMarker: '[DONE]' };
  return {
    direct: {
      ...commonOptions,
      url: `${url}/v1/completions`,
      headers: { [REQUEST_ID_HEADER]: 'direct.1' },
    },
    proxied: {
      ...commonOptions,
      url: `${fleet.daemons[0]!.callerUrl}/v1/completions`,
      headers: { authorization: `Bearer ${MILL_KEY}` },
    },
  };
}

/** Returns the times to the first byte of the successful requests. */
function getFirstByteTimes(samples: readonly Sample[]): number[] {
  return samples.filter(({ isSuccessful }) => isSuccessful).map(({ firstByteMs }) => firstByteMs);
}

/** Prints the added latency at 200 requests per second and the throughput of one daemon. */
export async function runLatency(): Promise<void> {
  const fleet = await startOneDaemon();
  const { direct, proxied } = createTargets(fleet);
  await runAtRate([direct, proxied], REQUESTS_PER_SECOND, WARM_UP_MS);
  const [directSamples, proxiedSamples] = await runAtRate(
    [direct, proxied],
    REQUESTS_PER_SECOND,
    DURATION_MS,
  );
  const directMs = getFirstByteTimes(directSamples!);
  const proxiedMs = getFirstByteTimes(proxiedSamples!);
  const addedMedianMs = getQuantile(proxiedMs, 0.5) - getQuantile(directMs, 0.5);
  const addedP99Ms = getQuantile(proxiedMs, 0.99) - getQuantile(directMs, 0.99);
  printFigure('direct_first_byte_median', getQuantile(directMs, 0.5), 'ms');
  printFigure('direct_first_byte_p99', getQuantile(directMs, 0.99), 'ms');
  printFigure('added_first_byte_median', addedMedianMs, 'ms', TARGET_MEDIAN_MS);
  printFigure('added_first_byte_p99', addedP99Ms, 'ms', TARGET_P99_MS);
  printFigure(
    'wrong_answers',
    proxiedSamples!.filter((s) => !s.isSuccessful).length,
    'requests',
    0,
  );
  const workerSamples = await runWorkers(proxied, WORKERS, DURATION_MS);
  const successes = workerSamples.filter(({ isSuccessful }) => isSuccessful).length;
  printFigure(
    'requests_carried',
    (successes * 1_000) / DURATION_MS,
    'requests/s',
    REQUESTS_PER_SECOND,
  );
  printFigure('carried_wrong', workerSamples.length - successes, 'requests', 0);
  await fleet.stop();
}
