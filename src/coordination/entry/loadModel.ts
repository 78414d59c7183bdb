/**
 * How the demand for models spreads over the engines that hold them, and what uneven load costs. Pure.
 *
 * Entry VMs send each request to the less loaded of a model's engines, so the demand for a model fills up
 * its engines to one level, as far as their other models allow. The prompts that an engine reads hold up the
 * streams that it runs, and streams are held up by prompts that come together: what is late of an engine's
 * work grows with the square of its load.
 */

/** Engines that hold each model, by their places in a list. */
export type Holders = ReadonlyMap<string, readonly number[]>;

/** What a spread of demand puts on each engine. Loads are in tokens a second. */
export interface LoadSpread {
  readonly holders: Holders;
  readonly loads: readonly number[];
  /** Part of each model's demand that each of its engines has, in the order of its holders. */
  readonly shares: ReadonlyMap<string, readonly number[]>;
  /** Load, in tokens a second, at which all that an engine serves is late. */
  readonly saturation: number;
}

/** An engine with this many times the mean load is taken to serve nothing on time. */
const SATURATION_FACTOR = 3;
/** Rounds in which models give way to each other; the second changes little, a third nearly nothing. */
const ROUNDS = 2;

/** Fills engines with given loads up to one level; returns what each of them takes. */
export function fillUp(loads: readonly number[], amount: number): number[] {
  const sorted = loads.toSorted((a, b) => a - b);
  let level = 0;
  let sum = 0;
  for (let i = 0; i < sorted.length; i += 1) {
    sum += sorted[i]!;
    level = (amount + sum) / (i + 1);
    if (i + 1 < sorted.length && level <= sorted[i + 1]!) {
      break;
    }
  }
  return loads.map((load) => Math.max(0, level - load));
}

function addShares(loads: number[], places: readonly number[], shares: readonly number[]): void {
  places.forEach((place, i) => {
    loads[place] = loads[place]! + shares[i]!;
  });
}

function pick(loads: readonly number[], places: readonly number[]): number[] {
  return places.map((place) => loads[place]!);
}

/** Spreads the demand for models over their engines. A model without engines adds nothing. */
export function spreadLoads(
  engineCount: number,
  holders: Holders,
  getNeed: (model: string) => number,
): LoadSpread {
  const loads: number[] = Array.from({ length: engineCount }, () => 0);
  const shares = new Map<string, readonly number[]>();
  // Models with few engines have the least choice, and are placed first.
  const models = [...holders.entries()].sort(([, a], [, b]) => a.length - b.length);
  for (let round = 0; round < ROUNDS; round += 1) {
    models.forEach(([model, places]) => {
      const before = shares.get(model);
      if (before !== undefined) {
        addShares(
          loads,
          places,
          before.map((share) => -share),
        );
      }
      const taken = fillUp(pick(loads, places), getNeed(model));
      addShares(loads, places, taken);
      shares.set(model, taken);
    });
  }
  const total = loads.reduce((sum, load) => sum + load, 0);
  const saturation = Math.max(1, (SATURATION_FACTOR * total) / Math.max(1, engineCount));
  return { holders, loads, shares, saturation };
}

/** Demand that is served late by an engine, in tokens a second. */
function getLateness(load: number, saturation: number): number {
  return load * (load / saturation) ** 2;
}

/** Lateness of changed loads over that of the spread's, in tokens a second. */
function compareLateness(spread: LoadSpread, changed: ReadonlyMap<number, number>): number {
  let difference = 0;
  changed.forEach((load, place) => {
    difference +=
      getLateness(load, spread.saturation) - getLateness(spread.loads[place]!, spread.saturation);
  });
  return difference;
}

/** Moves what an engine has of a model to the model's other engines; returns the changed loads. */
function dropShare(spread: LoadSpread, model: string, place: number): Map<number, number> {
  const places = spread.holders.get(model) ?? [];
  const at = places.indexOf(place);
  const changed = new Map<number, number>();
  if (at < 0) {
    return changed;
  }
  const share = spread.shares.get(model)![at]!;
  const others = places.filter((other) => other !== place);
  const taken = fillUp(pick(spread.loads, others), others.length === 0 ? 0 : share);
  others.forEach((other, i) => changed.set(other, spread.loads[other]! + taken[i]!));
  changed.set(place, spread.loads[place]! - share);
  return changed;
}

/** Lateness that the loss of one of several replicas adds, in tokens a second. */
export function getReplicaLoss(spread: LoadSpread, model: string, place: number): number {
  return compareLateness(spread, dropShare(spread, model, place));
}

/** Lateness that a replica more takes away, in tokens a second, if another model makes room for it. */
export function getReplicaGain(
  spread: LoadSpread,
  model: string,
  place: number,
  dropped: string | null,
): number {
  const changed = dropped === null ? new Map<number, number>() : dropShare(spread, dropped, place);
  const places = spread.holders.get(model) ?? [];
  const shares = spread.shares.get(model) ?? [];
  const getLoad = (at: number): number => changed.get(at) ?? spread.loads[at]!;
  places.forEach((at, i) => changed.set(at, getLoad(at) - shares[i]!));
  const widened = [...places, place];
  const amount = shares.reduce((sum, share) => sum + share, 0);
  const taken = fillUp(widened.map(getLoad), amount);
  widened.forEach((at, i) => changed.set(at, getLoad(at) + taken[i]!));
  return -compareLateness(spread, changed);
}
