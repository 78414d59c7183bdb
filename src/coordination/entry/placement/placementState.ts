/**
 * The controller's state: the lease, and what is recorded of the engines and of the orders sent to
 * them. Only the VM that holds the controller's lease uses the engines' state; each term rebuilds
 * it from the engines' entries in the store.
 */
import type { BackendEntry } from '../../../state/entry/backends.js';
import type { EngineOrder, EngineReport } from '../engineOrder.js';
import type { DemandSample } from './demandTrend.js';
import type { SlotTimeEstimate } from './slotTime.js';

/** A model that an engine is loading or unloading. */
export interface ModelChange {
  readonly model: string;
  readonly isLoad: boolean;
  readonly orderedAtMs: number;
  /**
   * Revision of the engine's entry when the order was sent; a later revision may show its effect.
   */
  readonly entryRevision: number;
}

/** An order that was sent and has no answer yet. */
export interface PendingOrder {
  readonly order: EngineOrder;
  readonly sentAtMs: number;
  /** Revision of the engine's entry when the order was sent. */
  readonly entryRevision: number;
}

/** An adapter that is queued for loading at an engine. */
export interface AdapterTask {
  readonly model: string;
  readonly adapter: string;
  /** Ids of the replies to send once the adapter is loaded. */
  readonly replyIds: string[];
  readonly requestedAtMs: number;
}

/** The state of one engine as the controller tracks it. Mutable. */
export interface EngineControl {
  readonly backendId: string;
  readonly bornAtWallMs: number;
  /** Number of orders that the engine is known to have accepted. */
  orderCount: number;
  /** Adapters on each model that the engine has loaded. */
  models: Map<string, Set<string>>;
  /** The model load or unload in progress; the engine gets no other order meanwhile. */
  change: ModelChange | null;
  /** When the engine last accepted a model order. */
  changedAtMs: number;
  /** The model that freed memory is reserved for, and when the reservation expires. */
  reservation: { readonly model: string; readonly untilMs: number } | null;
  /** When the engine last failed to accept a model order. */
  orderFailedAtMs: number;
  /** The order that has no answer yet. */
  pending: PendingOrder | null;
  /**
   * Orders with an unknown outcome that may still be carried out, until the order count has passed
   * them.
   */
  unconfirmedOrders: EngineOrder[];
  /** Adapters queued for loading, in order. */
  readonly tasks: AdapterTask[];
  /** When each adapter was last ordered or requested, by variant key. */
  readonly adapterUsedAtMs: Map<string, number>;
  /** Until when models that were ordered to be loaded are kept for the requests that wait for them. */
  readonly keptUntilMs: Map<string, number>;
  /** True if the engine must report its state before the next order. */
  needsReport: boolean;
  reportRequestedAtMs: number;
  /** Revision of the last entry that differed and led to a report request. */
  checkedRevision: number;
}

/** What the placement of a paced service is planned from beside the state of its engines. Mutable. */
export interface PacedPlacement {
  /** When the last plan was made. */
  plannedAtMs: number;
  /** How long slots serve tokens; undefined until engines have stated their loads. */
  slotTime: SlotTimeEstimate | undefined;
  /** Demand at the last times, the latest at the end. */
  demandSamples: readonly DemandSample[];
  /** When each model was last requested. */
  readonly requestedAtMs: Map<string, number>;
  /** Since when requested models have had no engine. */
  missingSinceMs: ReadonlyMap<string, number>;
  /** Replicas that models lacked in the last round. */
  missingReplicas: number;
}

export interface PlacementState {
  /** The fencing token of the lease; null if this VM is not the controller. */
  fence: number | null;
  /** A fencing token that an engine rejected as outdated; no orders are sent with it any more. */
  refusedFence: number | null;
  /** Until when this VM may rely on the lease. */
  leaseValidUntilMs: number;
  leaseRenewedAtMs: number;
  /**
   * No order is sent before this time, since the previous controller may have sent one shortly
   * before.
   */
  mayOrderFromMs: number;
  /** When the lease was first found without a holder. */
  leaseVacantSinceMs: number | null;
  claimedAtMs: number;
  readonly engines: Map<string, EngineControl>;
  /** The highest urgency weight seen for each model, by service and model. */
  readonly urgencyWeights: Map<string, number>;
  /** Start times of loads from the weight store within the window of the rate limit. */
  loadStartsMs: number[];
  /** By service; empty if this VM is not the controller. */
  readonly pacedServices: Map<string, PacedPlacement>;
  boardSequence: number;
}

/** Creates the state of a VM that is not the controller. */
export function createPlacementState(): PlacementState {
  return {
    fence: null,
    refusedFence: null,
    leaseValidUntilMs: Number.NEGATIVE_INFINITY,
    leaseRenewedAtMs: Number.NEGATIVE_INFINITY,
    mayOrderFromMs: Number.POSITIVE_INFINITY,
    leaseVacantSinceMs: null,
    claimedAtMs: Number.NEGATIVE_INFINITY,
    engines: new Map(),
    urgencyWeights: new Map(),
    loadStartsMs: [],
    pacedServices: new Map(),
    boardSequence: 0,
  };
}

/**
 * How long freed memory stays reserved for its model: an unload waits for the requests that run on
 * it.
 */
const RESERVATION_MS = 8_000;

/**
 * Reserves memory of an engine for a model. A repeated order does not prolong the reservation, so that an engine that
 * carries out none does not keep the model from the others.
 */
export function reserveMemory(control: EngineControl, model: string, nowMs: number): void {
  const { reservation } = control;
  const isReserved = reservation?.model === model && reservation.untilMs > nowMs;
  control.reservation = isReserved ? reservation : { model, untilMs: nowMs + RESERVATION_MS };
}

/** Prolongs the reservation of an engine that has begun to unload a model, and ends it at a load. */
export function advanceReservation(control: EngineControl, isLoad: boolean, nowMs: number): void {
  const { reservation } = control;
  control.reservation =
    isLoad || reservation === null ? null : { ...reservation, untilMs: nowMs + RESERVATION_MS };
}

/** Returns the model that an engine is loading or that freed memory is reserved for; null if there is none. */
export function getIncomingModel(control: EngineControl, nowMs: number): string | null {
  const { change, reservation } = control;
  if (change?.isLoad === true) {
    return change.model;
  }
  return reservation !== null && reservation.untilMs > nowMs ? reservation.model : null;
}

function copyModels(models: BackendEntry['models']): Map<string, Set<string>> {
  return new Map(models.map(({ adapters, name }) => [name, new Set(adapters)]));
}

/**
 * Creates the tracked state of an engine. Its entry lacks the order count, so a report is needed
 * first.
 */
export function createEngineControl(entry: BackendEntry): EngineControl {
  return {
    backendId: entry.id,
    bornAtWallMs: entry.bornAtWallMs,
    orderCount: 0,
    models: copyModels(entry.models),
    change: null,
    changedAtMs: Number.NEGATIVE_INFINITY,
    reservation: null,
    orderFailedAtMs: Number.NEGATIVE_INFINITY,
    pending: null,
    unconfirmedOrders: [],
    tasks: [],
    adapterUsedAtMs: new Map(),
    keptUntilMs: new Map(),
    needsReport: true,
    reportRequestedAtMs: Number.NEGATIVE_INFINITY,
    checkedRevision: 0,
  };
}

/** How long an ordered adapter counts as loaded before the engine's report must show it. */
const ADAPTER_ORDER_GRACE_MS = 3_000;

/** Maximum lag of entries and reports: this long after an order, they show its effect. */
const MAX_STATE_LAG_MS = 3_000;

/** Adds the adapters that were ordered recently and may still be loading. */
function retainRecentAdapters(
  control: EngineControl,
  models: Map<string, Set<string>>,
  nowMs: number,
): void {
  control.models.forEach((adapters, model) => {
    adapters.forEach((adapter) => {
      const usedAtMs = control.adapterUsedAtMs.get(`${model}/${adapter}`) ?? 0;
      if (nowMs - usedAtMs < ADAPTER_ORDER_GRACE_MS) {
        models.get(model)?.add(adapter);
      }
    });
  });
}

function hasSameModels(control: EngineControl, entry: BackendEntry): boolean {
  const names = entry.models.map(({ name }) => name);
  return names.length === control.models.size && names.every((name) => control.models.has(name));
}

/**
 * Marks the model change as complete once a later entry shows its effect. Entries lag by any amount
 * of time while the store is slow or unavailable, so an entry that differs otherwise changes
 * nothing and only leads to a report request.
 */
export function reconcileEntry(
  control: EngineControl,
  entry: BackendEntry,
  revision: number,
  nowMs: number,
): void {
  const { change } = control;
  if (change === null) {
    const isLagOver = nowMs - control.changedAtMs > MAX_STATE_LAG_MS;
    if (isLagOver && revision > control.checkedRevision && !hasSameModels(control, entry)) {
      control.checkedRevision = revision;
      control.needsReport = true;
    }
    return;
  }
  if (revision <= change.entryRevision) {
    return;
  }
  const loadedModel = entry.models.find(({ name }) => name === change.model);
  if ((loadedModel !== undefined) !== change.isLoad) {
    return;
  }
  if (loadedModel === undefined) {
    control.models.delete(change.model);
  } else {
    control.models.set(change.model, new Set(loadedModel.adapters));
  }
  control.change = null;
}

/**
 * Updates the state from an engine's report, unless the report is older than the orders that the
 * engine has accepted. Reports lag: one that may predate the last model change only adds models and
 * adapters.
 */
export function mergeReport(control: EngineControl, report: EngineReport, nowMs: number): void {
  if (report.orderCount < control.orderCount || control.pending !== null) {
    return;
  }
  const models = copyModels(report.models);
  const mayBeStale = report.isBusy || nowMs - control.changedAtMs < MAX_STATE_LAG_MS;
  if (mayBeStale) {
    control.models.forEach((adapters, model) => {
      models.set(model, new Set([...(models.get(model) ?? []), ...adapters]));
    });
  } else {
    retainRecentAdapters(control, models, nowMs);
  }
  report.loadingAdapters.forEach((variant) => {
    const [model = '', adapter = ''] = variant.split('/');
    models.get(model)?.add(adapter);
  });
  control.models = models;
  if (control.reservation !== null && models.has(control.reservation.model)) {
    control.reservation = null;
  }
  control.orderCount = report.orderCount;
  control.unconfirmedOrders = control.unconfirmedOrders.filter(
    (order) => order.expectedOrderCount >= report.orderCount,
  );
  if (!mayBeStale) {
    control.change = null;
  }
  // An order of an earlier controller is in progress; its effect is visible only once it has ended.
  control.needsReport = report.isBusy && control.change === null;
  const { needsReport, reservation } = control;
  if (needsReport && reservation !== null && reservation.untilMs > nowMs) {
    control.reservation = { ...reservation, untilMs: nowMs + RESERVATION_MS };
  }
}
