/**
 * Estimates the demand for models that has risen within the last seconds. The module is pure.
 *
 * VMs report averages that decay with a time constant of some seconds, so that a demand which begins at once shows in full only
 * after several of them. The difference of two reports tells the demand between them exactly, but from fewer requests.
 */

/** Demand in tokens per second, by model, at one time. */
export interface DemandSample {
  readonly atMs: number;
  readonly tokensPerSecond: ReadonlyMap<string, number>;
}

/** Time between two samples, and the shortest time for which the demand is estimated anew. */
const SAMPLE_INTERVAL_MS = 250;
const MIN_SPAN_MS = 1_000;
/**
 * Highest estimate as a multiple of the reported average: reports of VMs that were not heard before look like new demand.
 */
const MAX_RISE_FACTOR = 3;
/** Mean cost of a request; requests at all sites cost 700 to 3,000 tokens. */
export const TOKENS_PER_REQUEST = 1_850;
const MS_PER_SECOND = 1000;

/** Returns the samples with a new one, if it is due, and without those that are older than needed. */
export function addDemandSample(
  samples: readonly DemandSample[],
  sample: DemandSample,
): readonly DemandSample[] {
  const last = samples.at(-1);
  if (last !== undefined && sample.atMs - last.atMs < SAMPLE_INTERVAL_MS) {
    return samples;
  }
  const kept = samples.filter(
    ({ atMs }) => sample.atMs - atMs < MIN_SPAN_MS + 2 * SAMPLE_INTERVAL_MS,
  );
  return [...kept, sample];
}

/**
 * Returns the demand for a model: the reported average, or what has come since the latest sample that is old enough, at the low
 * end of what so few requests tell, if that is higher.
 */
export function estimateDemand(
  samples: readonly DemandSample[],
  model: string,
  { atMs, tokensPerSecond }: { readonly atMs: number; readonly tokensPerSecond: number },
  decayMs: number,
): number {
  const earlier = samples.findLast((sample) => atMs - sample.atMs >= MIN_SPAN_MS);
  if (earlier === undefined) {
    return tokensPerSecond;
  }
  const spanMs = atMs - earlier.atMs;
  const kept = Math.exp(-spanMs / decayMs);
  const known = earlier.tokensPerSecond.get(model) ?? 0;
  const recent = Math.max(0, (tokensPerSecond - known * kept) / (1 - kept));
  const deviation = Math.sqrt((recent * TOKENS_PER_REQUEST * MS_PER_SECOND) / spanMs);
  return Math.max(tokensPerSecond, Math.min(recent - deviation, MAX_RISE_FACTOR * tokensPerSecond));
}
