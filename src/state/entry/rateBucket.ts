/**
 * This VM's part of a workspace's rate, as a bucket that refills up to its capacity.
 *
 * A request may be larger than a small part's capacity. It is then admitted from a full bucket, and the
 * level goes below zero until the refill has paid for it; else large requests of a small workspace would
 * never run.
 */

const MS_PER_SECOND = 1000;

/** Mutable; owned by the loop. */
export interface RateBucket {
  levelTokens: number;
  capacityTokens: number;
  rateTokensPerSecond: number;
  updatedAtMs: number;
}

/** Creates a bucket with a level that the caller has accounted for. */
export function createRateBucket(
  capacityTokens: number,
  rateTokensPerSecond: number,
  levelTokens: number,
  nowMs: number,
): RateBucket {
  return { levelTokens, capacityTokens, rateTokensPerSecond, updatedAtMs: nowMs };
}

function refill(bucket: RateBucket, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
  const refilled = bucket.levelTokens + (elapsedMs * bucket.rateTokensPerSecond) / MS_PER_SECOND;
  bucket.levelTokens = Math.min(refilled, bucket.capacityTokens);
  bucket.updatedAtMs += elapsedMs;
}

/** Sets a new part; the level never exceeds the new capacity. */
export function resizeRateBucket(
  bucket: RateBucket,
  capacityTokens: number,
  rateTokensPerSecond: number,
  nowMs: number,
): void {
  refill(bucket, nowMs);
  bucket.capacityTokens = capacityTokens;
  bucket.rateTokensPerSecond = rateTokensPerSecond;
  bucket.levelTokens = Math.min(bucket.levelTokens, capacityTokens);
}

/** Takes the cost of a request, or returns false and takes nothing. */
export function takeFromBucket(bucket: RateBucket, costTokens: number, nowMs: number): boolean {
  refill(bucket, nowMs);
  if (bucket.levelTokens < Math.min(costTokens, bucket.capacityTokens)) {
    return false;
  }
  bucket.levelTokens -= costTokens;
  return true;
}

/** Gives back the cost of a request that is proved not to have run. */
export function refundBucket(bucket: RateBucket, costTokens: number): void {
  bucket.levelTokens = Math.min(bucket.levelTokens + costTokens, bucket.capacityTokens);
}

/** Returns the tokens that a cost lacks now. */
export function getBucketShortage(
  { capacityTokens, levelTokens }: RateBucket,
  costTokens: number,
): number {
  return Math.max(0, Math.min(costTokens, capacityTokens) - levelTokens);
}

/** Returns the time until a cost can be taken. */
export function getBucketWaitMs(bucket: RateBucket, costTokens: number, nowMs: number): number {
  refill(bucket, nowMs);
  const missing = getBucketShortage(bucket, costTokens);
  if (missing === 0) {
    return 0;
  }
  return bucket.rateTokensPerSecond > 0
    ? (missing / bucket.rateTokensPerSecond) * MS_PER_SECOND
    : Number.POSITIVE_INFINITY;
}
