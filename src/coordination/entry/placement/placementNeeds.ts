/**
 * Tells which models have to be loaded because no engine that could run their requests has them. The module is pure.
 *
 * A request that goes on with a stream needs an engine of the software version that began it, so a model that only engines of other
 * versions hold is missing for it.
 */
import type { EngineView, ModelDemandTotals, PlanInput } from './planInput.js';

/** Demand that a waiting request counts for, so that a model without earlier requests is loaded. */
const WAITING_REQUEST_TOKENS_PER_SECOND = 1_000;
/** Waiting requests beyond this number do not raise the demand for a model further. */
const MAX_COUNTED_WAITING_REQUESTS = 3;
/** A model without a replica is loaded from this demand on, even if no request waits for it. */
export const MIN_UNPLACED_TOKENS_PER_SECOND = 200;
/** Urgency weight of a model that was never requested. */
export const DEFAULT_URGENCY_WEIGHT = 2.5;

/** A model that no engine has or is loading, of the given version if one is. */
export interface PlacementNeed {
  readonly model: string;
  /** Null if an engine of any version will do. */
  readonly softwareVersion: string | null;
  /** Demand that a load serves, in tokens per second. */
  readonly demand: number;
}

/** Returns the models that an engine has, except one that it unloads, and those that it is to have. */
export function listAssignedModels(engine: EngineView): string[] {
  const loaded = [...engine.models.keys()].filter((model) => model !== engine.unloadingModel);
  const incoming = [engine.loadingModel, engine.reservedModel].filter((model) => model !== null);
  return [...new Set([...loaded, ...incoming])];
}

function getWaitingDemand(input: PlanInput, model: string, waitingRequests: number): number {
  const waiting = Math.min(MAX_COUNTED_WAITING_REQUESTS, waitingRequests);
  const urgencyWeight = input.urgencyWeights.get(model) ?? DEFAULT_URGENCY_WEIGHT;
  return waiting * urgencyWeight * WAITING_REQUEST_TOKENS_PER_SECOND;
}

/** Returns the demand for a model as long as no engine has it. */
export function getUnplacedDemand(input: PlanInput, model: string): number {
  const { valuePerSecond = 0, waitingRequests = 0 } = input.demands.get(model) ?? {};
  return valuePerSecond + getWaitingDemand(input, model, waitingRequests);
}

function listModelNeeds(
  input: PlanInput,
  model: string,
  { waitingByVersion }: ModelDemandTotals,
): PlacementNeed[] {
  const holders = input.engines.filter((engine) => listAssignedModels(engine).includes(model));
  const isMissing = (softwareVersion: string): boolean =>
    !holders.some((engine) => engine.softwareVersion === softwareVersion) &&
    input.engines.some((engine) => engine.softwareVersion === softwareVersion);
  const unplaced = holders.length === 0 ? getUnplacedDemand(input, model) : 0;
  // A load at a version also serves what any engine may run. An equal demand comes after it.
  const bound = [...waitingByVersion]
    .filter(([softwareVersion]) => isMissing(softwareVersion))
    .map(([softwareVersion, waiting]) => ({
      model,
      softwareVersion,
      demand: Math.max(unplaced, getWaitingDemand(input, model, waiting)),
    }));
  return [...bound, { model, softwareVersion: null, demand: unplaced }];
}

/** Returns the models that are missing, those with the highest demand first. */
export function listPlacementNeeds(input: PlanInput): PlacementNeed[] {
  return [...input.demands]
    .filter(([model]) => input.profile.modelsByName.has(model))
    .flatMap(([model, totals]) => listModelNeeds(input, model, totals))
    .filter(({ demand }) => demand >= MIN_UNPLACED_TOKENS_PER_SECOND)
    .sort((a, b) => b.demand - a.demand);
}
