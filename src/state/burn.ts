/**
 * Computes the burn rate of a workspace's service-level objective over several time windows. The burn rate is
 * the fraction of requests that missed the objective, divided by the fraction that may miss it: at 1 the error
 * budget is used up exactly, at 10 it is used up ten times too fast.
 */
import type { Objective } from './types.js';

/** The objective of workspaces whose configuration has none. */
export const DEFAULT_OBJECTIVE: Objective = { firstTokenMs: 910, tokenGapMs: 45, goodPart: 0.95 };

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
const BUCKET_MS = 30 * SECOND_MS;

/** The time windows of a burn report. */
export const BURN_WINDOWS = [
  { name: '5m', lengthMs: 5 * MINUTE_MS },
  { name: '1h', lengthMs: 60 * MINUTE_MS },
  { name: '6h', lengthMs: 360 * MINUTE_MS },
] as const;

const LONGEST_WINDOW_MS = Math.max(...BURN_WINDOWS.map(({ lengthMs }) => lengthMs));

/** A window is reported as burning if its burn rate is above this value. */
export const BURNING_THRESHOLD = 1;

/** The reasons for which a request misses its objective. */
export const MissReason = {
  FirstToken: 'firstToken',
  TokenGap: 'tokenGap',
  Refused: 'refused',
  Broken: 'broken',
} as const;
export type MissReason = (typeof MissReason)[keyof typeof MissReason];

/** The requests of a time span: how many met their objective, and how many missed it for each reason. */
export interface BurnCounts {
  readonly good: number;
  readonly missed: Readonly<Partial<Record<MissReason, number>>>;
}

/** The counts of one interval of `BUCKET_MS`; `index` is the number of the interval since time 0. */
interface Bucket {
  readonly index: number;
  good: number;
  readonly missed: Partial<Record<MissReason, number>>;
}

/** The counts of one workspace and target over time. Mutable; the oldest bucket is first. */
export interface BurnSeries {
  buckets: Bucket[];
}

/** Creates an empty series. */
export function createBurnSeries(): BurnSeries {
  return { buckets: [] };
}

/** Returns the bucket of the current time. Adds it and removes expired buckets if it does not exist yet. */
function getOrAddBucket(series: BurnSeries, nowMs: number): Bucket {
  const index = Math.floor(nowMs / BUCKET_MS);
  const last = series.buckets.at(-1);
  if (last?.index === index) {
    return last;
  }
  const lastExpiredIndex = index - LONGEST_WINDOW_MS / BUCKET_MS;
  const bucket: Bucket = { index, good: 0, missed: {} };
  series.buckets = [...series.buckets.filter((other) => other.index > lastExpiredIndex), bucket];
  return bucket;
}

/** Counts one request; `reason` is null if the request met its objective. */
export function countRequest(series: BurnSeries, reason: MissReason | null, nowMs: number): void {
  const bucket = getOrAddBucket(series, nowMs);
  if (reason === null) {
    bucket.good += 1;
    return;
  }
  bucket.missed[reason] = (bucket.missed[reason] ?? 0) + 1;
}

/** Returns the sum of two counts. */
export function addCounts(a: BurnCounts, b: BurnCounts): BurnCounts {
  const missed = { ...a.missed };
  Object.values(MissReason).forEach((reason) => {
    const sum = (a.missed[reason] ?? 0) + (b.missed[reason] ?? 0);
    if (sum > 0) {
      missed[reason] = sum;
    }
  });
  return { good: a.good + b.good, missed };
}

export const ZERO_COUNTS: BurnCounts = { good: 0, missed: {} };

/** Returns the sum of the counts of the last `lengthMs` milliseconds, rounded to whole buckets. */
export function getWindowCounts(series: BurnSeries, lengthMs: number, nowMs: number): BurnCounts {
  const lastExcludedIndex = Math.floor((nowMs - lengthMs) / BUCKET_MS);
  return series.buckets
    .filter((bucket) => bucket.index > lastExcludedIndex)
    .reduce<BurnCounts>(addCounts, ZERO_COUNTS);
}

/** Returns how many requests missed their objective. */
export function countMissed({ missed }: BurnCounts): number {
  return Object.values(missed).reduce((sum, count) => sum + count, 0);
}

/** Computes the burn rate of the counted requests; 0 if there are none. */
export function computeBurnRate(counts: BurnCounts, objective: Objective): number {
  const missed = countMissed(counts);
  const total = counts.good + missed;
  return total === 0 ? 0 : missed / total / (1 - objective.goodPart);
}

/** Returns the most frequent reason for which requests missed their objective, or null if none did. */
export function getMainMissReason({ missed }: BurnCounts): MissReason | null {
  const reasons = Object.values(MissReason).filter((reason) => (missed[reason] ?? 0) > 0);
  return reasons.toSorted((a, b) => (missed[b] ?? 0) - (missed[a] ?? 0))[0] ?? null;
}
