/**
 * Runs the controller of the engines: one VM holds a lease in the store and sends all orders. Its
 * fencing token is the store's revision of the lease's key, which only increases.
 */
import type { EngineProfile, ForwardService } from '../../../state/entry/deployment.js';
import type { EngineAdapters } from '../../../state/entry/reports.js';
import { LogLevel } from '../../events.js';
import {
  listEngineAdapters,
  recordAdapterUse,
  answerOrQueueAdapter,
  processAdapterTasks,
} from './adapterPlacement.js';
import {
  requestReports,
  canSendOrders,
  processEngineReport,
  processOrderOutcome,
  sendEngineOrder,
  syncEngines,
} from './engineOrders.js';
import {
  createEntryLog,
  createEntryTimer,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
} from '../commands.js';
import { OrderAction } from '../engineOrder.js';
import { EntryEventKind, type EntryEventOf } from '../events.js';
import { collectModelDemands, getUrgencyWeights } from '../exchange/modelDemands.js';
import type { EngineView, ModelDemandTotals } from './planInput.js';
import { createPacedInput, isPlanDue, recordPlan } from './pacedPlacement.js';
import { LOAD_TIMES, type PlanStep, planNextStep, WeightSource } from './placementPlanner.js';
import { type EngineControl, reserveMemory } from './placementState.js';
import { isAcceptingRequests } from '../requests/backendSelection.js';
import { planReplicas } from './replicaPlan.js';
import { compareRelayRank } from '../exchange/relays.js';
import { isCutOffFromEngines } from '../servers/serviceReach.js';
import { isPacedService } from '../servers/serverLoads.js';
import { isPaused, shortenPauses } from '../servers/serverPauses.js';
import { EntryLifecycle, type EntryState, isShuttingDown } from '../state.js';

/** Renewals in the duration of a lease, so that one lost response does not let it expire. */
const RENEWALS_PER_LEASE = 3;
/**
 * The holder relies on the lease for this fraction of its duration from the sending of the last
 * renewal.
 */
const LEASE_TRUST_FRACTION = 0.85;
/**
 * Delay of a claim of the vacant lease for each VM ahead in the list, so that few VMs claim at
 * once.
 */
const CLAIM_DELAY_PER_RANK_MS = 150;
/** The list of VMs is not complete in this time after all have started, and with it their order. */
const CLAIM_AFTER_START_MS = 1_000;
/**
 * Minimum time between two claims by one VM. If the response to a claim is lost, its effect shows
 * in the change of the key.
 */
const MIN_CLAIM_INTERVAL_MS = 1_000;
/** Maximum steps planned in one round; bounds the work of a round. */
const MAX_STEPS_PER_ROUND = 4;
/**
 * An engine gets no new placement for this long after a model change, so that models do not
 * displace each other in turn.
 */
const MODEL_CHANGE_COOLDOWN_MS = 2_000;
/**
 * A model of a paced service stays for this long after its load, so that the requests that were collected for it run: two in
 * turn in a slot, of about 1.5 s each, on an engine that is somewhat slower than usual.
 */
const MIN_STAY_MS = 4_000;
/**
 * Orders to load reach engines up to this much later than they are sent. Loads are counted for that much longer, since whole
 * windows of them are ordered at once.
 */
const MAX_ORDER_DELAY_MS = 500;
/** Other engines are preferred for this long after an engine has failed to accept a model order. */
const FAILED_ORDER_MS = 8_000;
/** An engine gets no model order for this long after it has failed to accept one. */
const ORDER_RETRY_MS = 1_000;
const MS_PER_SECOND = 1000;

/** Returns this VM's index among the VMs, in the order in which they claim the lease. */
function getRank(state: EntryState): number {
  const ids = [...state.listedVms].sort(compareRelayRank).map(({ vmId }) => vmId);
  return Math.max(0, ids.indexOf(state.self.vmId));
}

function claimVacantLease(state: EntryState, nowMs: number): EntryCommand[] {
  const { placement, store } = state;
  const isVacant = state.controller === null && placement.leaseVacantSinceMs !== null;
  const canHold = state.lifecycle === EntryLifecycle.Running && !isCutOffFromEngines(state);
  if (!isVacant || !store.isReachable || !canHold) {
    return [];
  }
  const isJustStarted = nowMs - state.startedAtMs < CLAIM_AFTER_START_MS;
  const isMyTurn =
    !isJustStarted &&
    nowMs - placement.leaseVacantSinceMs! >= getRank(state) * CLAIM_DELAY_PER_RANK_MS;
  if (!isMyTurn || nowMs - placement.claimedAtMs < MIN_CLAIM_INTERVAL_MS) {
    return [];
  }
  placement.claimedAtMs = nowMs;
  return [{ kind: EntryCommandKind.AcquireControllerLease }];
}

function renewLease(state: EntryState, nowMs: number): EntryCommand[] {
  const { placement, policy } = state;
  const intervalMs = policy.controllerLeaseMs / RENEWALS_PER_LEASE;
  if (placement.fence === null || nowMs - placement.leaseRenewedAtMs < intervalMs) {
    return [];
  }
  placement.leaseRenewedAtMs = nowMs;
  return [{ kind: EntryCommandKind.RenewControllerLease, fence: placement.fence }];
}

function createEngineView(state: EntryState, control: EngineControl, nowMs: number): EngineView {
  const backend = state.backends.get(control.backendId)!;
  const { change, reservation } = control;
  const order = control.pending?.order;
  const pendingModelOrder = order?.adapter === null ? order : null;
  const loading = change?.isLoad === true ? change.model : null;
  const unloading = change?.isLoad === false ? change.model : null;
  return {
    backendId: control.backendId,
    softwareVersion: backend.entry.softwareVersion,
    models: control.models,
    loadingModel:
      loading ?? (pendingModelOrder?.action === OrderAction.Load ? pendingModelOrder.model : null),
    unloadingModel:
      unloading ??
      (pendingModelOrder?.action === OrderAction.Unload ? pendingModelOrder.model : null),
    reservedModel: reservation !== null && reservation.untilMs > nowMs ? reservation.model : null,
    isCooldownOver: nowMs - control.changedAtMs > MODEL_CHANGE_COOLDOWN_MS,
    hasFailedOrder: nowMs - control.orderFailedAtMs < FAILED_ORDER_MS,
    unconfirmedOrders: control.unconfirmedOrders,
    hostCopies: backend.entry.hostCopies,
    diskCopies: backend.entry.diskCopies,
    canTakeOrder:
      change === null &&
      control.pending === null &&
      !control.needsReport &&
      nowMs - control.orderFailedAtMs >= ORDER_RETRY_MS &&
      isAcceptingRequests(backend) &&
      !isPaused(backend, nowMs),
  };
}

/** Returns the loads from the weight store that the rate limit allows in its window. */
function getLoadsPerWindow({ policy }: EntryState, loadsPerSecond: number): number {
  return Math.max(1, Math.floor((loadsPerSecond * policy.loadWindowMs) / MS_PER_SECOND));
}

/** Returns how many more loads from the weight store are within the rate limit. */
function countAllowedLoads(
  state: EntryState,
  loadsPerSecond: number,
  windowMs: number,
  nowMs: number,
): number {
  const { placement, policy } = state;
  const keptMs = policy.loadWindowMs + MAX_ORDER_DELAY_MS;
  placement.loadStartsMs = placement.loadStartsMs.filter((atMs) => nowMs - atMs < keptMs);
  const count = placement.loadStartsMs.filter((atMs) => nowMs - atMs < windowMs).length;
  return getLoadsPerWindow(state, loadsPerSecond) - count;
}

function executeStep(state: EntryState, step: PlanStep, nowMs: number): EntryCommand[] {
  const control = state.placement.engines.get(step.backendId)!;
  if (step.source === WeightSource.Store) {
    state.placement.loadStartsMs.push(nowMs);
  }
  reserveMemory(control, step.targetModel, nowMs);
  const action = step.isLoad ? OrderAction.Load : OrderAction.Unload;
  const target = { model: step.model, adapter: null, reason: step.reason };
  return sendEngineOrder(state, control, action, target, nowMs);
}

/** Demand for the models of a service, and its engines, in one round. */
interface ServiceRound {
  readonly service: ForwardService;
  readonly profile: EngineProfile;
  readonly controls: readonly EngineControl[];
  readonly demands: ReadonlyMap<string, ModelDemandTotals>;
  readonly urgencyWeights: ReadonlyMap<string, number>;
}

/** Keeps a model that no engine has for the requests that wait for it, from its load on. */
function keepForWaiting(
  { controls, profile }: ServiceRound,
  { backendId, model: name, source }: PlanStep,
  nowMs: number,
): void {
  const model = profile.modelsByName.get(name);
  const isMissing = !controls.some(({ models }) => models.has(name));
  if (source !== null && model !== undefined && isMissing) {
    const control = controls.find((candidate) => candidate.backendId === backendId);
    control?.keptUntilMs.set(name, nowMs + LOAD_TIMES[source](model) + MIN_STAY_MS);
  }
}

/** Orders the steps of the plan for a paced service. */
function placePacedModels(state: EntryState, round: ServiceRound, nowMs: number): EntryCommand[] {
  const { controls, profile, service } = round;
  if (!isPlanDue(state, service.name, controls.length, nowMs)) {
    return [];
  }
  const windowMs = state.policy.loadWindowMs + MAX_ORDER_DELAY_MS;
  const plan = planReplicas(
    createPacedInput(
      state,
      {
        ...round,
        service: service.name,
        views: controls.map((control) => createEngineView(state, control, nowMs)),
        storeLoads: countAllowedLoads(state, profile.loadsPerSecond, windowMs, nowMs),
        storeLoadsPerWindow: getLoadsPerWindow(state, profile.loadsPerSecond),
      },
      nowMs,
    ),
  );
  recordPlan(state, service.name, plan, nowMs);
  plan.steps.forEach((step) => {
    keepForWaiting(round, step, nowMs);
  });
  return plan.steps.flatMap((step) => executeStep(state, step, nowMs));
}

/** Orders one planned step after the other. */
function placeModelsInSteps(state: EntryState, round: ServiceRound, nowMs: number): EntryCommand[] {
  const { controls, demands, profile, urgencyWeights } = round;
  const { loadWindowMs } = state.policy;
  const commands: EntryCommand[] = [];
  for (let i = 0; i < MAX_STEPS_PER_ROUND; i += 1) {
    const step = planNextStep({
      profile,
      engines: controls.map((control) => createEngineView(state, control, nowMs)),
      demands,
      urgencyWeights,
      mayLoadFromStore: countAllowedLoads(state, profile.loadsPerSecond, loadWindowMs, nowMs) > 0,
    });
    if (step === null) {
      break;
    }
    commands.push(...executeStep(state, step, nowMs));
  }
  return commands;
}

function placeModels(state: EntryState, service: ForwardService, nowMs: number): EntryCommand[] {
  const profile = service.engine!;
  const { demands, variants } = collectModelDemands(state, service, nowMs);
  recordAdapterUse(state, variants, nowMs);
  const controls = [...state.placement.engines.values()].filter((control) => {
    const backend = state.backends.get(control.backendId);
    return backend?.entry.service === service.name && isAcceptingRequests(backend);
  });
  const urgencyWeights = getUrgencyWeights(state, service);
  const round = { service, profile, controls, demands, urgencyWeights };
  const place = isPacedService(state, service.name) ? placePacedModels : placeModelsInSteps;
  return [
    ...place(state, round, nowMs),
    ...controls.flatMap((control) => processAdapterTasks(state, control, profile, nowMs)),
  ];
}

function updateBoard(state: EntryState, nowMs: number): void {
  const { boardSequence, fence } = state.placement;
  if (fence === null) {
    return;
  }
  const known = state.board?.fence === fence ? state.board.engines : [];
  const engines = listEngineAdapters(state, nowMs).map((engine): EngineAdapters => {
    const previous = known.find(({ backendId }) => backendId === engine.backendId);
    const isUnchanged =
      previous?.bornAtWallMs === engine.bornAtWallMs &&
      previous.incomingModel === engine.incomingModel &&
      previous.variants.join(' ') === engine.variants.join(' ');
    return { ...engine, sequence: isUnchanged ? previous.sequence : boardSequence + 1 };
  });
  const hasChanged = engines.some(({ sequence }) => sequence > boardSequence);
  if (hasChanged || state.board?.fence !== fence) {
    state.placement.boardSequence += 1;
    state.board = { fence, sequence: boardSequence + 1, engines, baseSequence: 0 };
  }
}

/** Runs one round of the controller. */
function runController(state: EntryState, nowMs: number): EntryCommand[] {
  const controls = syncEngines(state, nowMs);
  if (!canSendOrders(state, nowMs)) {
    return [];
  }
  const services = [...(state.deployment?.servicesByName.values() ?? [])];
  const commands = [
    ...requestReports(state, controls, nowMs),
    ...services
      .filter(({ engine }) => engine !== null)
      .flatMap((service) => placeModels(state, service, nowMs)),
  ];
  updateBoard(state, nowMs);
  return commands;
}

/** Runs a round at once, after the state of an engine has changed, if this VM is the controller. */
export function runControllerIfActive(state: EntryState, nowMs: number): EntryCommand[] {
  return state.placement.fence === null ? [] : runController(state, nowMs);
}

/** Ends this VM's term as the controller, if it is the controller. */
export function stopController(state: EntryState, reason: string): EntryCommand[] {
  const { placement } = state;
  if (placement.fence === null) {
    return [];
  }
  const { fence } = placement;
  placement.fence = null;
  placement.engines.clear();
  placement.pacedServices.clear();
  return [
    createEntryLog(
      LogLevel.Warn,
      EntryLogPrefix.Placement,
      'This VM is no longer the controller.',
      { fence, reason },
    ),
  ];
}

/** Gives the lease up if this VM reaches no engine of a service and another VM does, so that one that does sends the orders. */
function releaseIfCutOff(state: EntryState): EntryCommand[] {
  const { fence } = state.placement;
  return fence === null || !isCutOffFromEngines(state)
    ? []
    : [
        ...stopController(state, 'this VM reaches no engine of a service that others reach'),
        { kind: EntryCommandKind.ReleaseControllerLease, fence },
      ];
}

/** Renews or claims the lease, sends orders, and starts the timer of the next round. */
export function handleControllerTick(
  state: EntryState,
  _event: EntryEventOf<typeof EntryEventKind.ControllerTick>,
  nowMs: number,
): EntryCommand[] {
  const { controllerTickMs } = state.policy;
  const kind = EntryEventKind.ControllerTick;
  return [
    createEntryTimer(kind, controllerTickMs, { kind }),
    ...releaseIfCutOff(state),
    ...claimVacantLease(state, nowMs),
    ...renewLease(state, nowMs),
    ...runControllerIfActive(state, nowMs),
  ];
}

/** Updates the lease holder from a read of the store. */
export function handleControllerLeaseRead(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.ControllerLeaseRead>,
  nowMs: number,
): EntryCommand[] {
  const { holder } = event;
  const { placement, self } = state;
  const previous = state.controller;
  state.controller = holder;
  placement.leaseVacantSinceMs = holder === null ? (placement.leaseVacantSinceMs ?? nowMs) : null;
  const isSelf = holder?.incarnation === self.incarnation;
  const stopCommands = isSelf ? [] : stopController(state, 'the lease has another holder');
  return previous?.fence === holder?.fence
    ? stopCommands
    : [
        ...stopCommands,
        createEntryLog(LogLevel.Info, EntryLogPrefix.Placement, 'The controller has changed.', {
          controller: holder?.vmId ?? '',
          fence: holder?.fence ?? 0,
        }),
      ];
}

/** Handles the response to a claim or a renewal of the lease. */
export function handleControllerLeaseAnswered(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.ControllerLeaseAnswered>,
  nowMs: number,
): EntryCommand[] {
  const { fence, isLost, isRenewal = false, sentAtMs } = event;
  const { placement, policy, self } = state;
  if (isLost) {
    const isEarlierTerm = fence !== null && fence !== placement.fence;
    return isEarlierTerm ? [] : stopController(state, 'the lease has ended');
  }
  if (fence === null) {
    return [];
  }
  const isNew = placement.fence !== fence;
  if (isNew && (isRenewal || isShuttingDown(state))) {
    // The lease was given up while the call was under way.
    return [{ kind: EntryCommandKind.ReleaseControllerLease, fence }];
  }
  const heldUntilMs = sentAtMs + policy.controllerLeaseMs * LEASE_TRUST_FRACTION;
  placement.leaseValidUntilMs = isNew
    ? heldUntilMs
    : Math.max(placement.leaseValidUntilMs, heldUntilMs);
  if (!isNew) {
    return [];
  }
  placement.fence = fence;
  placement.leaseRenewedAtMs = sentAtMs;
  placement.engines.clear();
  placement.mayOrderFromMs = nowMs + policy.takeoverWaitMs;
  const { incarnation, peerAddress, vmId } = self;
  state.controller = { vmId, incarnation, peerAddress, fence };
  placement.leaseVacantSinceMs = null;
  return [
    createEntryLog(LogLevel.Info, EntryLogPrefix.Placement, 'This VM became the controller.', {
      fence,
    }),
  ];
}

function advanceAdapterTasks(state: EntryState, backendId: string, nowMs: number): EntryCommand[] {
  const control = state.placement.engines.get(backendId);
  const service = state.backends.get(backendId)?.entry.service ?? '';
  const profile = state.deployment?.servicesByName.get(service)?.engine ?? null;
  return control === undefined || profile === null || !canSendOrders(state, nowMs)
    ? []
    : processAdapterTasks(state, control, profile, nowMs);
}

/** Replies to a request for an adapter, and orders a load if no engine has the adapter. */
export function handleAdapterRequested(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.AdapterRequested>,
  nowMs: number,
): EntryCommand[] {
  const { backendId, commands } = answerOrQueueAdapter(state, event, nowMs);
  return backendId === null
    ? commands
    : [...commands, ...advanceAdapterTasks(state, backendId, nowMs)];
}

/** Processes the outcome of an order, and sends the orders that waited for it. */
export function handleOrderAnswered(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.OrderAnswered>,
  nowMs: number,
): EntryCommand[] {
  const commands = processOrderOutcome(state, event, nowMs);
  return [...commands, ...advanceAdapterTasks(state, event.backendId, nowMs)];
}

/** Updates the state of an engine from its report. */
export function handleEngineReported(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.EngineReported>,
  nowMs: number,
): EntryCommand[] {
  return processEngineReport(state, event, nowMs);
}

/**
 * Subtracts the suspended time from the validity of the lease and from the pauses of servers: they kept running out while
 * the VM was suspended, but the monotonic clock stood still.
 */
export function handleSuspended(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.Suspended>,
): EntryCommand[] {
  state.placement.leaseValidUntilMs -= event.lostMs;
  shortenPauses(state, event.lostMs);
  return [
    createEntryLog(LogLevel.Warn, EntryLogPrefix.Lifecycle, 'The VM was suspended.', {
      lostMs: event.lostMs,
    }),
  ];
}
