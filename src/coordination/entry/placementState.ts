/**
 * What the controller knows of the engines and of the orders it has given. Only the VM that holds the
 * controller's lease uses it; a new term starts from the engines' own entries.
 */
import type { BackendEntry } from '../../state/entry/backends.js';
import type { EngineOrder, EngineReport } from './events.js';

/** A model that an engine is loading or dropping. */
export interface ModelChange {
  readonly model: string;
  readonly isLoad: boolean;
  readonly orderedAtMs: number;
  /** Revision of the engine's entry when the order was given; a later one may show its effect. */
  readonly entryRevision: number;
}

/** An order that was sent and not answered yet. */
export interface PendingOrder {
  readonly order: EngineOrder;
  readonly sentAtMs: number;
  /** Revision of the engine's entry when it was sent. */
  readonly entryRevision: number;
}

/** An adapter that waits for its turn at an engine. */
export interface AdapterTask {
  readonly model: string;
  readonly adapter: string;
  /** Those that wait for the adapter. */
  readonly replyIds: string[];
  readonly askedAtMs: number;
}

/** One engine as the controller sees it. Mutable. */
export interface EngineControl {
  readonly backendId: string;
  readonly bornAtWallMs: number;
  /** Orders that the engine is known to have accepted. */
  orderCount: number;
  /** Adapters on each model that the engine holds. */
  models: Map<string, Set<string>>;
  /** The model order under way; the engine takes no other meanwhile. */
  change: ModelChange | null;
  /** When the last model order was given or seen to be carried out. */
  changedAtMs: number;
  /** The model that a drop makes room for, and until when the room is kept for it. */
  intent: { readonly model: string; readonly untilMs: number } | null;
  /** The order that has not been answered yet. */
  pending: PendingOrder | null;
  /** Orders without an answer that may still be carried out, until the count has passed them. */
  doubtful: EngineOrder[];
  /** Orders on adapters, in turn. */
  readonly tasks: AdapterTask[];
  /** When each adapter was last ordered or asked for, by variant key. */
  readonly adapterUsedAtMs: Map<string, number>;
  /** True if its state must be read before the next order. */
  needsReport: boolean;
  reportAskedAtMs: number;
  /** Revision of the last entry that led to a question because it differed. */
  checkedRevision: number;
}

export interface PlacementState {
  /** The fence of the lease; null if this VM is not the controller. */
  fence: number | null;
  /** A fence that an engine has refused, which orders nothing any more. */
  refusedFence: number | null;
  /** The lease is certain until then. */
  heldUntilMs: number;
  keptAtMs: number;
  /** No order leaves before then: the controller before may have given one until shortly ago. */
  mayOrderFromMs: number;
  /** When the absence of a controller was noticed. */
  vacantSinceMs: number | null;
  claimedAtMs: number;
  readonly engines: Map<string, EngineControl>;
  /** How soon requests for each model were due, at the most urgent; by service and model. */
  readonly timeWeights: Map<string, number>;
  /** Starts of loads from the weight store within the window of its limit. */
  loadStartsMs: number[];
  boardSequence: number;
}

/** Creates the state of a VM that is not the controller. */
export function createPlacementState(): PlacementState {
  return {
    fence: null,
    refusedFence: null,
    heldUntilMs: Number.NEGATIVE_INFINITY,
    keptAtMs: Number.NEGATIVE_INFINITY,
    mayOrderFromMs: Number.POSITIVE_INFINITY,
    vacantSinceMs: null,
    claimedAtMs: Number.NEGATIVE_INFINITY,
    engines: new Map(),
    timeWeights: new Map(),
    loadStartsMs: [],
    boardSequence: 0,
  };
}

function copyModels(models: BackendEntry['models']): Map<string, Set<string>> {
  return new Map(models.map(({ adapters, name }) => [name, new Set(adapters)]));
}

/** Creates the control of an engine. Its count of orders is not in its entry and has to be asked for. */
export function createEngineControl(entry: BackendEntry): EngineControl {
  return {
    backendId: entry.id,
    bornAtWallMs: entry.bornAtWallMs,
    orderCount: 0,
    models: copyModels(entry.models),
    change: null,
    changedAtMs: Number.NEGATIVE_INFINITY,
    intent: null,
    pending: null,
    doubtful: [],
    tasks: [],
    adapterUsedAtMs: new Map(),
    needsReport: true,
    reportAskedAtMs: Number.NEGATIVE_INFINITY,
    checkedRevision: 0,
  };
}

/** How long an adapter order is trusted before the engine's own word shows it. */
const ADAPTER_TRUST_MS = 3_000;

/** An entry and a report that are older than this show all earlier orders. */
const SETTLE_MS = 3_000;

/** Adds what was known of adapters that were ordered lately, and may be on their way. */
function keepRecentAdapters(
  control: EngineControl,
  models: Map<string, Set<string>>,
  nowMs: number,
): void {
  control.models.forEach((adapters, model) => {
    adapters.forEach((adapter) => {
      const usedAtMs = control.adapterUsedAtMs.get(`${model}/${adapter}`) ?? 0;
      if (nowMs - usedAtMs < ADAPTER_TRUST_MS) {
        models.get(model)?.add(adapter);
      }
    });
  });
}

function isSameModels(control: EngineControl, entry: BackendEntry): boolean {
  const names = entry.models.map(({ name }) => name);
  return names.length === control.models.size && names.every((name) => control.models.has(name));
}

/**
 * Takes over from a later entry that an order was carried out. Entries lag by any time while the store is
 * slow or away, so one that differs otherwise changes nothing: the engine is asked.
 */
export function noteEntry(
  control: EngineControl,
  entry: BackendEntry,
  revision: number,
  nowMs: number,
): void {
  const { change } = control;
  if (change === null) {
    const isSettled = nowMs - control.changedAtMs > SETTLE_MS;
    if (isSettled && revision > control.checkedRevision && !isSameModels(control, entry)) {
      control.checkedRevision = revision;
      control.needsReport = true;
    }
    return;
  }
  if (revision <= change.entryRevision) {
    return;
  }
  const resident = entry.models.find(({ name }) => name === change.model);
  if ((resident !== undefined) !== change.isLoad) {
    return;
  }
  if (resident === undefined) {
    control.models.delete(change.model);
  } else {
    control.models.set(change.model, new Set(resident.adapters));
  }
  control.change = null;
}

/**
 * Takes over an engine's report, unless it is older than the orders that it has accepted. Reports lag: one
 * that may be older than the last change of a model only adds to what the engine is taken to hold.
 */
export function mergeReport(control: EngineControl, said: EngineReport, nowMs: number): void {
  if (said.orderCount < control.orderCount || control.pending !== null) {
    return;
  }
  const models = copyModels(said.models);
  const mayBeOlder = said.isBusy || nowMs - control.changedAtMs < SETTLE_MS;
  if (mayBeOlder) {
    control.models.forEach((adapters, model) => {
      models.set(model, new Set([...(models.get(model) ?? []), ...adapters]));
    });
  } else {
    keepRecentAdapters(control, models, nowMs);
  }
  said.comingAdapters.forEach((variant) => {
    const [model = '', adapter = ''] = variant.split('/');
    models.get(model)?.add(adapter);
  });
  control.models = models;
  control.orderCount = said.orderCount;
  control.doubtful = control.doubtful.filter(
    (order) => order.expectedOrderCount >= said.orderCount,
  );
  if (!mayBeOlder) {
    control.change = null;
  }
  // An order of an earlier controller is under way: what it does shows once it has ended.
  control.needsReport = said.isBusy && control.change === null;
}
