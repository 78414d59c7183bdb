/**
 * A token bucket that holds one VM's share of a workspace's rate.
 *
 * A request may cost more than the capacity of a small bucket. It is then admitted when the bucket is full, and
 * the level stays negative until the refill has made up for it. Otherwise the large requests of a small workspace
 * would never run.
 */

const MS_PER_SECOND = 1000;

/** Token bucket. Mutable; only the event loop changes it. */
export interface RateBucket {
  levelTokens: number;
  capacityTokens: number;
  rateTokensPerSecond: number;
  updatedAtMs: number;
}

/** Creates a bucket with an initial level, which the caller must have accounted for in the workspace's rate. */
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
  const refilledTokens =
    bucket.levelTokens + (elapsedMs * bucket.rateTokensPerSecond) / MS_PER_SECOND;
  bucket.levelTokens = Math.min(refilledTokens, bucket.capacityTokens);
  bucket.updatedAtMs += elapsedMs;
}

/** Sets a new capacity and refill rate, and lowers the level to the new capacity if it is higher. */
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

/** Takes the cost of a request and returns true, or takes nothing and returns false. */
export function takeFromBucket(bucket: RateBucket, costTokens: number, nowMs: number): boolean {
  refill(bucket, nowMs);
  if (bucket.levelTokens < Math.min(costTokens, bucket.capacityTokens)) {
    return false;
  }
  bucket.levelTokens -= costTokens;
  return true;
}

/** Refunds the cost of a request, up to the capacity. The request must be proven not to have run. */
export function refundBucket(bucket: RateBucket, costTokens: number): void {
  bucket.levelTokens = Math.min(bucket.levelTokens + costTokens, bucket.capacityTokens);
}

/** Returns the number of tokens that the bucket lacks to admit a cost, without refilling it. */
export function getBucketShortage(
  { capacityTokens, levelTokens }: RateBucket,
  costTokens: number,
): number {
  return Math.max(0, Math.min(costTokens, capacityTokens) - levelTokens);
}

/** Returns the time until a cost can be taken, which is infinite for a bucket that does not refill. */
export function getBucketWaitMs(bucket: RateBucket, costTokens: number, nowMs: number): number {
  refill(bucket, nowMs);
  const missingTokens = getBucketShortage(bucket, costTokens);
  if (missingTokens === 0) {
    return 0;
  }
  return bucket.rateTokensPerSecond > 0
    ? (missingTokens / bucket.rateTokensPerSecond) * MS_PER_SECOND
    : Number.POSITIVE_INFINITY;
}
