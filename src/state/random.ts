/**
 * Implements a seeded pseudorandom number generator (Mulberry32) and a string hash (FNV-1a). The generator is
 * seeded so that replaying recorded events leads to the same decisions.
 */

/** The state of a generator; each generated number changes it. */
export interface RandomState {
  seed: number;
}

const INCREMENT = 0x6d2b79f5;
const UINT32_RANGE = 4294967296;

/** Creates a generator with an unsigned 32-bit seed. */
export function createRandom(seed: number): RandomState {
  return { seed: Math.trunc(seed) % UINT32_RANGE };
}

/** Returns the next pseudorandom number in [0, 1). */
export function nextRandom(random: RandomState): number {
  random.seed = (random.seed + INCREMENT) % UINT32_RANGE;
  let mixed = random.seed;
  mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
  mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
  return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
}

/** Returns the next pseudorandom integer in [0, bound). */
export function nextRandomInt(random: RandomState, bound: number): number {
  return Math.floor(nextRandom(random) * bound);
}

/** Computes the unsigned 32-bit FNV-1a hash of the UTF-16 code units of a string. */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, 0x01000193);
  }
  return hash >>> 0;
}
