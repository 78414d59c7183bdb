/**
 * Service-level burn: how fast a workspace uses up the part of its requests that may miss the
 * objective. A burn of 1 uses up exactly that part; a window at 10 is ten times too fast.
 */
import type { Objective } from './types.js';

/** Used for workspaces without an objective of their own. */
export const DEFAULT_OBJECTIVE: Objective = { firstTokenMs: 910, tokenGapMs: 45, goodPart: 0.95 };

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
const BUCKET_MS = 30 * SECOND_MS;

/** The windows that a report shows. */
export const BURN_WINDOWS = [
  { name: '5m', lengthMs: 5 * MINUTE_MS },
  { name: '1h', lengthMs: 60 * MINUTE_MS },
  { name: '6h', lengthMs: 360 * MINUTE_MS },
] as const;

const LONGEST_MS = Math.max(...BURN_WINDOWS.map(({ lengthMs }) => lengthMs));

/** Burn at which a window is reported as burning. */
export const BURNING = 1;

/** Why a request missed its objective. */
export const MissReason = {
  FirstToken: 'firstToken',
  TokenGap: 'tokenGap',
  Refused: 'refused',
  Broken: 'broken',
} as const;
export type MissReason = (typeof MissReason)[keyof typeof MissReason];

/** Requests of a span of time. */
export interface BurnCounts {
  readonly good: number;
  readonly missed: Readonly<Partial<Record<MissReason, number>>>;
}

interface Bucket {
  readonly index: number;
  good: number;
  readonly missed: Partial<Record<MissReason, number>>;
}

/** Counts over time of one workspace and target; mutable, oldest bucket first. */
export interface BurnSeries {
  buckets: Bucket[];
}

/** Creates an empty series. */
export function createBurnSeries(): BurnSeries {
  return { buckets: [] };
}

function getBucket(series: BurnSeries, nowMs: number): Bucket {
  const index = Math.floor(nowMs / BUCKET_MS);
  const last = series.buckets.at(-1);
  if (last?.index === index) {
    return last;
  }
  const oldest = index - LONGEST_MS / BUCKET_MS;
  const bucket: Bucket = { index, good: 0, missed: {} };
  series.buckets = [...series.buckets.filter((other) => other.index > oldest), bucket];
  return bucket;
}

/** Counts one request; `reason` is null if it met its objective. */
export function countRequest(series: BurnSeries, reason: MissReason | null, nowMs: number): void {
  const bucket = getBucket(series, nowMs);
  if (reason === null) {
    bucket.good += 1;
    return;
  }
  bucket.missed[reason] = (bucket.missed[reason] ?? 0) + 1;
}

/** Adds up two counts. */
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

export const NO_COUNTS: BurnCounts = { good: 0, missed: {} };

/** Adds up the counts of the time up to now. */
export function getWindowCounts(series: BurnSeries, lengthMs: number, nowMs: number): BurnCounts {
  const firstIndex = Math.floor((nowMs - lengthMs) / BUCKET_MS);
  return series.buckets
    .filter((bucket) => bucket.index > firstIndex)
    .reduce<BurnCounts>(addCounts, NO_COUNTS);
}

/** Returns how many requests missed their objective. */
export function countMissed({ missed }: BurnCounts): number {
  return Object.values(missed).reduce((sum, count) => sum + count, 0);
}

/** Returns the burn of some counts; zero without requests. */
export function getBurn(counts: BurnCounts, objective: Objective): number {
  const missed = countMissed(counts);
  const all = counts.good + missed;
  return all === 0 ? 0 : missed / all / (1 - objective.goodPart);
}

/** Returns the most frequent reason for missing, or null if none missed. */
export function getMainReason({ missed }: BurnCounts): MissReason | null {
  const reasons = Object.values(MissReason).filter((reason) => (missed[reason] ?? 0) > 0);
  return reasons.toSorted((a, b) => (missed[b] ?? 0) - (missed[a] ?? 0))[0] ?? null;
}
