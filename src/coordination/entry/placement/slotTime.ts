/**
 * Learns for how long a slot of an engine serves a token: by Little's law, the requests that run on all engines divided by the
 * demand that they come from. The module is pure.
 *
 * The cost of a request in tokens (prompt and longest output) is all that VMs report of the demand; how long requests take is
 * known only from the loads that engines state.
 */

/** Averages that the estimate is made from. */
export interface SlotTimeEstimate {
  readonly runningRequests: number;
  readonly tokensPerSecond: number;
  readonly updatedAtMs: number;
}

/**
 * Used until loads are known: requests cost 700 to 3,000 tokens at all sites, and take about 1.5 s. The estimate stays within
 * a factor of it, since rejected requests count in the demand and do not run, and stated loads may be seconds old.
 */
const DEFAULT_SLOT_SECONDS_PER_TOKEN = 1 / 1_250;
const MAX_FACTOR = 3;
/** Time constant of the averages: longer than the age of stated loads, shorter than the time in which demand moves often. */
const DECAY_MS = 10_000;
/** Loads of fewer engines than this part say too little about the others. */
const MIN_STATED_FRACTION = 0.25;

/** What the engines state now. */
export interface StatedRuns {
  readonly engineCount: number;
  /** Requests that run on each engine with a recent statement, at the usual pace. */
  readonly runningByEngine: readonly number[];
  readonly tokensPerSecond: number;
}

/** Returns the averages with what engines state now; unchanged if too few do. */
export function updateSlotTime(
  previous: SlotTimeEstimate | undefined,
  { engineCount, runningByEngine, tokensPerSecond }: StatedRuns,
  nowMs: number,
): SlotTimeEstimate | undefined {
  const count = runningByEngine.length;
  if (count === 0 || count < engineCount * MIN_STATED_FRACTION || tokensPerSecond <= 0) {
    return previous;
  }
  const mean = runningByEngine.reduce((sum, running) => sum + running, 0) / count;
  const runningRequests = mean * engineCount;
  if (previous === undefined) {
    return { runningRequests, tokensPerSecond, updatedAtMs: nowMs };
  }
  const keep = Math.exp((previous.updatedAtMs - nowMs) / DECAY_MS);
  return {
    runningRequests: keep * previous.runningRequests + (1 - keep) * runningRequests,
    tokensPerSecond: keep * previous.tokensPerSecond + (1 - keep) * tokensPerSecond,
    updatedAtMs: nowMs,
  };
}

/** Returns the time for which a slot serves a token at the usual pace. */
export function getSlotSecondsPerToken(estimate: SlotTimeEstimate | undefined): number {
  const seconds =
    estimate === undefined
      ? DEFAULT_SLOT_SECONDS_PER_TOKEN
      : estimate.runningRequests / estimate.tokensPerSecond;
  return Math.min(
    DEFAULT_SLOT_SECONDS_PER_TOKEN * MAX_FACTOR,
    Math.max(DEFAULT_SLOT_SECONDS_PER_TOKEN / MAX_FACTOR, seconds),
  );
}
