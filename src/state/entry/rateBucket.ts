/**
 * A token bucket that holds one VM's share of a workspace's rate.
 *
 * A request may cost more than the capacity of a small bucket. It is then admitted when the bucket is full, and
 * the level stays negative until the refill has made up for it. Otherwise the large requests of a small workspace
 * would never run.
 *
 * A bucket keeps tokens for requests that were rejected and go before others when they come again.
 */

const MS_PER_SECOND = 1000;

/** Tokens that are kept for a rejected request until it comes again or a time is over. */
export interface Reservation {
  readonly tokens: number;
  readonly expiresAtMs: number;
}

/** Token bucket. Mutable; only the event loop changes it. */
export interface RateBucket {
  levelTokens: number;
  capacityTokens: number;
  rateTokensPerSecond: number;
  updatedAtMs: number;
  /** By what names the rejected request. */
  readonly reservations: Map<string, Reservation>;
}

/** Creates a bucket with an initial level, which the caller must have accounted for in the workspace's rate. */
export function createRateBucket(
  capacityTokens: number,
  rateTokensPerSecond: number,
  levelTokens: number,
  nowMs: number,
): RateBucket {
  return {
    levelTokens,
    capacityTokens,
    rateTokensPerSecond,
    updatedAtMs: nowMs,
    reservations: new Map(),
  };
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

/** Returns the tokens that are kept for rejected requests other than the given one. */
export function getReservedTokens(
  { reservations }: RateBucket,
  key: string | null,
  nowMs: number,
): number {
  let sum = 0;
  reservations.forEach(({ expiresAtMs, tokens }, other) => {
    if (expiresAtMs <= nowMs) {
      reservations.delete(other);
    } else if (other !== key) {
      sum += tokens;
    }
  });
  return sum;
}

/** Keeps tokens for a rejected request. More than the capacity cannot be kept. */
export function keepTokens(
  bucket: RateBucket,
  key: string,
  reservation: Reservation,
  nowMs: number,
): void {
  if (getReservedTokens(bucket, key, nowMs) < bucket.capacityTokens) {
    bucket.reservations.set(key, reservation);
  }
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
