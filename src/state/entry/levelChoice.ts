/**
 * Chooses one of several servers at random so that a number of requests that are dispatched on the same information, by VMs
 * that do not know of each other's choices, together fill the servers to the same level.
 *
 * With few such requests the choice is nearly always the server with the lowest cost. With many, as when the information is
 * old, it spreads over all servers in proportion to their room. The method is Dahlin's "Interpreting stale load information".
 */
import { nextRandom, type RandomState } from '../random.js';

/** A server that may be chosen. */
export interface LevelOption {
  readonly cost: number;
  /** Number of requests that raise the cost by 1. */
  readonly room: number;
}

/** Returns the cost up to which the servers are filled by a number of requests that go to the cheapest ones first. */
export function findLevel(options: readonly LevelOption[], requests: number): number {
  let level = Number.POSITIVE_INFINITY;
  // Each pass leaves out the servers above the level of the pass before, which only lowers it.
  for (;;) {
    let room = 0;
    let filled = requests;
    for (const option of options) {
      if (option.cost < level) {
        room += option.room;
        filled += option.cost * option.room;
      }
    }
    const next = filled / room;
    if (!(next < level)) {
      return level;
    }
    level = next;
  }
}

/** Returns the index of the chosen option, which exists; `requests` is above 0. */
export function chooseByLevel(
  options: readonly LevelOption[],
  requests: number,
  random: RandomState,
): number {
  const level = findLevel(options, requests);
  let left = nextRandom(random) * requests;
  let chosen = 0;
  for (const [index, { cost, room }] of options.entries()) {
    if (cost < level) {
      chosen = index;
      left -= (level - cost) * room;
      if (left < 0) {
        break;
      }
    }
  }
  return chosen;
}
