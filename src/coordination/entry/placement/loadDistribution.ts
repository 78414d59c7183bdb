/**
 * Computes how the demand for models distributes over the engines that have them loaded, and what
 * uneven load costs. The module is pure.
 *
 * Entry VMs send each request to the less loaded engine of a model, so the demand for a model
 * raises its engines to one common load level (water-filling), as far as the load from their other
 * models allows. The prefill of a prompt delays the streams that the engine runs, and prompts that
 * arrive together delay them more: the late fraction of an engine's work grows with the square of
 * its load.
 */

/** Indexes of the engines that have each model loaded. */
export type EngineIndexesByModel = ReadonlyMap<string, readonly number[]>;

/** The load that a distribution of demand puts on each engine, in tokens per second. */
export interface LoadDistribution {
  readonly engineIndexesByModel: EngineIndexesByModel;
  readonly loads: readonly number[];
  /** Demand of each model that each of its engines serves, in the order of the model's engine indexes. */
  readonly shares: ReadonlyMap<string, readonly number[]>;
  /** Load, in tokens per second, from which on everything that an engine serves is late. */
  readonly saturationLoad: number;
}

/** An engine with this many times the mean load counts as serving nothing on time. */
const SATURATION_FACTOR = 3;
/** Passes of reassigning each model's demand; the second changes little, a third almost nothing. */
const PASSES = 2;

/** Distributes an amount over engines by water-filling, and returns what each engine receives. */
export function waterFill(loads: readonly number[], amount: number): number[] {
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

function addShares(
  loads: number[],
  engineIndexes: readonly number[],
  shares: readonly number[],
): void {
  engineIndexes.forEach((engineIndex, i) => {
    loads[engineIndex] = loads[engineIndex]! + shares[i]!;
  });
}

function pickLoads(loads: readonly number[], engineIndexes: readonly number[]): number[] {
  return engineIndexes.map((engineIndex) => loads[engineIndex]!);
}

/** Distributes the demand for models over their engines. A model without engines adds nothing. */
export function distributeLoads(
  engineCount: number,
  engineIndexesByModel: EngineIndexesByModel,
  getDemand: (model: string) => number,
): LoadDistribution {
  const loads: number[] = Array.from({ length: engineCount }, () => 0);
  const shares = new Map<string, readonly number[]>();
  // Models with few engines have the least choice and are assigned first.
  const models = [...engineIndexesByModel.entries()].sort(([, a], [, b]) => a.length - b.length);
  for (let pass = 0; pass < PASSES; pass += 1) {
    models.forEach(([model, engineIndexes]) => {
      const previous = shares.get(model);
      if (previous !== undefined) {
        addShares(
          loads,
          engineIndexes,
          previous.map((share) => -share),
        );
      }
      const added = waterFill(pickLoads(loads, engineIndexes), getDemand(model));
      addShares(loads, engineIndexes, added);
      shares.set(model, added);
    });
  }
  const total = loads.reduce((sum, load) => sum + load, 0);
  const saturationLoad = Math.max(1, (SATURATION_FACTOR * total) / Math.max(1, engineCount));
  return { engineIndexesByModel, loads, shares, saturationLoad };
}

/** Returns the part of an engine's load that is served late, in tokens per second. */
function getLateLoad(load: number, saturation: number): number {
  return load * (load / saturation) ** 2;
}

/**
 * Returns how much late load the changed loads add over the distribution's, in tokens per second.
 */
function getLateLoadIncrease(
  distribution: LoadDistribution,
  changedLoads: ReadonlyMap<number, number>,
): number {
  let increase = 0;
  changedLoads.forEach((load, engineIndex) => {
    increase +=
      getLateLoad(load, distribution.saturationLoad) -
      getLateLoad(distribution.loads[engineIndex]!, distribution.saturationLoad);
  });
  return increase;
}

/**
 * Moves an engine's share of a model to the model's other engines, and returns the changed loads.
 */
function removeReplica(
  distribution: LoadDistribution,
  model: string,
  engineIndex: number,
): Map<number, number> {
  const engineIndexes = distribution.engineIndexesByModel.get(model) ?? [];
  const index = engineIndexes.indexOf(engineIndex);
  const changedLoads = new Map<number, number>();
  if (index < 0) {
    return changedLoads;
  }
  const share = distribution.shares.get(model)![index]!;
  const others = engineIndexes.filter((other) => other !== engineIndex);
  const added = waterFill(pickLoads(distribution.loads, others), others.length === 0 ? 0 : share);
  others.forEach((other, i) => changedLoads.set(other, distribution.loads[other]! + added[i]!));
  changedLoads.set(engineIndex, distribution.loads[engineIndex]! - share);
  return changedLoads;
}

/** Returns the late load that removing one of several replicas adds, in tokens per second. */
export function getReplicaRemovalCost(
  distribution: LoadDistribution,
  model: string,
  engineIndex: number,
): number {
  return getLateLoadIncrease(distribution, removeReplica(distribution, model, engineIndex));
}

/**
 * Returns the late load that another replica removes, in tokens per second, with
 * `evictedModel` evicted to free memory for it.
 */
export function getReplicaGain(
  distribution: LoadDistribution,
  model: string,
  engineIndex: number,
  evictedModel: string | null,
): number {
  const changedLoads =
    evictedModel === null
      ? new Map<number, number>()
      : removeReplica(distribution, evictedModel, engineIndex);
  const engineIndexes = distribution.engineIndexesByModel.get(model) ?? [];
  const shares = distribution.shares.get(model) ?? [];
  const getLoad = (index: number): number => changedLoads.get(index) ?? distribution.loads[index]!;
  engineIndexes.forEach((index, i) => changedLoads.set(index, getLoad(index) - shares[i]!));
  const extended = [...engineIndexes, engineIndex];
  const amount = shares.reduce((sum, share) => sum + share, 0);
  const added = waterFill(extended.map(getLoad), amount);
  extended.forEach((index, i) => changedLoads.set(index, getLoad(index) + added[i]!));
  return -getLateLoadIncrease(distribution, changedLoads);
}
