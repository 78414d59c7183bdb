/**
 * What a placement plan is made from: the engines as the controller knows them, and the demand for models. The module is pure.
 */
import type { EngineProfile } from '../../../state/entry/deployment.js';
import type { EngineOrder } from '../engineOrder.js';

/** The state of an engine that planning depends on. */
export interface EngineView {
  readonly backendId: string;
  readonly softwareVersion: string;
  /** Adapters on each model that the engine has loaded. */
  readonly models: ReadonlyMap<string, ReadonlySet<string>>;
  /** The model that the engine is loading; its memory counts as used. */
  readonly loadingModel: string | null;
  readonly unloadingModel: string | null;
  /** The model that freed memory is reserved for; it counts as being loaded. */
  readonly reservedModel: string | null;
  /**
   * False during the cooldown after a model change: only the model with the reservation is loaded
   * then.
   */
  readonly isCooldownOver: boolean;
  /** True if the engine recently failed to accept a model order; any other engine is preferred. */
  readonly hasFailedOrder: boolean;
  /** Orders with an unknown outcome that may still be carried out; their memory counts as used. */
  readonly unconfirmedOrders: readonly EngineOrder[];
  readonly hostCopies: readonly string[];
  readonly diskCopies: readonly string[];
  /** True if the engine can take an order now. */
  readonly canTakeOrder: boolean;
}

/** Demand for a model, summed over all VMs. */
export interface ModelDemandTotals {
  readonly tokensPerSecond: number;
  /** The same demand, with each request weighted by its urgency. */
  readonly valuePerSecond: number;
  readonly waitingRequests: number;
  /** Those of them that only engines of one software version may run, by version. */
  readonly waitingByVersion: ReadonlyMap<string, number>;
}

/** The demand for a model that is not requested. */
export const NO_DEMAND: ModelDemandTotals = {
  tokensPerSecond: 0,
  valuePerSecond: 0,
  waitingRequests: 0,
  waitingByVersion: new Map(),
};

export interface PlanInput {
  readonly profile: EngineProfile;
  readonly engines: readonly EngineView[];
  readonly demands: ReadonlyMap<string, ModelDemandTotals>;
  /** The highest urgency seen for each model; a model without an entry counts as urgent. */
  readonly urgencyWeights: ReadonlyMap<string, number>;
  /** False while the rate limit on loads from the weight store is exhausted. */
  readonly mayLoadFromStore: boolean;
}

/** The state of an engine of a paced service. */
export interface PacedEngineView extends EngineView {
  readonly failureDomain: string;
  /** Duration of work on the engine's machine as a multiple of the usual; 1 if not known. */
  readonly pace: number;
  /** Models that were loaded shortly before, and whose requests may not have run yet: they are not evicted. */
  readonly keptModels: ReadonlySet<string>;
}

/** What the plan of a paced service is made from. */
export interface PacedPlanInput extends Omit<PlanInput, 'mayLoadFromStore'> {
  readonly engines: readonly PacedEngineView[];
  /** The demand for each model in tokens per second, estimated from the last seconds; may be above the reported average. */
  readonly expectedTokensPerSecond: ReadonlyMap<string, number>;
  /** Time for which a slot serves a token of a request's cost. */
  readonly slotSecondsPerToken: number;
  /** When each model was last requested; a model without an entry was not. */
  readonly requestedAtMs: ReadonlyMap<string, number>;
  /** Models that have been requested for long without getting an engine. */
  readonly overdueModels: ReadonlySet<string>;
  /** Loads from the weight store that the rate limit allows now, and in its whole window. */
  readonly storeLoads: number;
  readonly storeLoadsPerWindow: number;
}
