/**
 * The reference rate limit that the fleet is compared with: one central token bucket to which every
 * request is visible immediately.
 */

/** Tokens that a workspace received; the actual cost of a request counts at its admission time. */
export interface Receipt {
  readonly atMs: number;
  tokens: number;
}

const MILLITOKENS_PER_TOKEN = 1000;

/**
 * Returns by how many tokens the worst window exceeded its burst and refill; zero or less if none
 * did. Receipts may be in any order. Thousandths of a token make it exact for integer rates.
 */
export function findExcess(receipts: readonly Receipt[], burst: number, rate: number): number {
  let level = 0;
  let lastMs = 0;
  let maxExcess = Number.NEGATIVE_INFINITY;
  receipts
    .toSorted((a, b) => a.atMs - b.atMs)
    .forEach(({ atMs, tokens }) => {
      level = Math.max(0, level - rate * (atMs - lastMs)) + tokens * MILLITOKENS_PER_TOKEN;
      lastMs = atMs;
      maxExcess = Math.max(maxExcess, level - burst * MILLITOKENS_PER_TOKEN);
    });
  return maxExcess / MILLITOKENS_PER_TOKEN;
}

/** One token bucket for a whole workspace. */
export interface CentralBucket {
  readonly take: (tokens: number, nowMs: number) => boolean;
}

/** Creates a full token bucket. */
export function createCentralBucket(burst: number, rate: number): CentralBucket {
  let level = burst;
  let lastMs = 0;
  return {
    take: (tokens, nowMs) => {
      level = Math.min(burst, level + (rate * (nowMs - lastMs)) / 1000);
      lastMs = nowMs;
      if (level < tokens) {
        return false;
      }
      level -= tokens;
      return true;
    },
  };
}
