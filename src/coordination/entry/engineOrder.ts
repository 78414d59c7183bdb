/**
 * Orders to engines to load or unload models and adapters, and what engines report.
 */
import type { BackendEntry } from '../../state/entry/backends.js';

/** An order to an engine to load or unload a model or an adapter. */
export interface EngineOrder {
  readonly action: OrderAction;
  readonly model: string;
  readonly adapter: string | null;
  /** Number of orders that the engine must have accepted before this one. */
  readonly expectedOrderCount: number;
}

/** The actions that an order can request. */
export const OrderAction = { Load: 'load', Unload: 'unload' } as const;
export type OrderAction = (typeof OrderAction)[keyof typeof OrderAction];

/** The result of an order. */
export const EngineOrderOutcome = {
  /** The engine is carrying the order out. */
  Accepted: 'accepted',
  /** The engine is already in the requested state. */
  Done: 'done',
  /** Another order is in progress, or the engine has accepted other orders since `expectedOrderCount`. */
  Conflict: 'conflict',
  /** The engine has accepted an order with a higher fencing token, from a later controller. */
  Fenced: 'fenced',
  /** The engine rejected the order, or another server responded at the address. */
  Rejected: 'rejected',
  /** No response arrived: the order may still be carried out. */
  Unknown: 'unknown',
} as const;
export type EngineOrderOutcome = (typeof EngineOrderOutcome)[keyof typeof EngineOrderOutcome];

/** The state that an engine reports on request. */
export interface EngineReport {
  readonly isBusy: boolean;
  readonly orderCount: number;
  readonly models: BackendEntry['models'];
  /** Adapters that are being loaded, as `model/adapter`. */
  readonly loadingAdapters: readonly string[];
}
