/**
 * The controller of the engines: one VM holds a lease in the store and gives all orders. Its fence is the
 * store's revision of the lease's key, which only rises.
 */
import type { ForwardService } from '../../state/entry/deployment.js';
import { LogLevel } from '../events.js';
import {
  listEngineAdapters,
  noteAdapterDemand,
  queueAdapter,
  stepAdapterTasks,
} from './adapterPlacement.js';
import {
  askForReports,
  mayOrder,
  noteEngineReport,
  noteOrderAnswer,
  sendEngineOrder,
  syncEngines,
} from './engineOrders.js';
import {
  createEntryLog,
  createEntryTimer,
  type EntryCommand,
  EntryCommandKind,
  EntryPart,
} from './commands.js';
import { EntryEventKind, type EntryEventOf, OrderAction } from './events.js';
import { collectNeeds, listTimeWeights } from './modelNeeds.js';
import { type EngineView, type PlanStep, planNextStep, WeightSource } from './placementPlan.js';
import type { EngineControl } from './placementState.js';
import { isOpenBackend } from './selection.js';
import { EntryLifecycle, type EntryState } from './state.js';

/** The lease is renewed this often in its time, so that one lost answer does not end it. */
const RENEWALS_IN_LEASE = 3;
/** The lease is trusted up to this part of its time from the sending of its last renewal. */
const LEASE_TRUST_PART = 0.85;
/** How long a VM leaves a vacant lease to each VM before it in the list, so that few claim at once. */
const RANK_DELAY_MS = 150;
/** Time between two claims of one VM: an answer that is lost comes back as a change of the key. */
const CLAIM_INTERVAL_MS = 1_000;
/** Steps that the plan takes in one round, so that a round's work is bounded. */
const MAX_STEPS = 4;
/** Room that a drop has made is kept this long for its model: a drop waits for the runs under way. */
const INTENT_MS = 8_000;
/** An engine that has changed a model is left alone this long, so that models do not chase each other. */
const MIN_RESIDENCE_MS = 2_000;
const MS_PER_SECOND = 1000;

/** This VM's place among the listed VMs. */
function getRank(state: EntryState): number {
  const ids = state.listedVms.map(({ vmId }) => vmId).sort();
  return Math.max(0, ids.indexOf(state.self.vmId));
}

function claimVacantLease(state: EntryState, nowMs: number): EntryCommand[] {
  const { placement, store } = state;
  const isVacant = state.controller === null && placement.vacantSinceMs !== null;
  if (!isVacant || !store.isReachable || state.lifecycle !== EntryLifecycle.Running) {
    return [];
  }
  const isMyTurn = nowMs - placement.vacantSinceMs! >= getRank(state) * RANK_DELAY_MS;
  if (!isMyTurn || nowMs - placement.claimedAtMs < CLAIM_INTERVAL_MS) {
    return [];
  }
  placement.claimedAtMs = nowMs;
  return [{ kind: EntryCommandKind.ClaimController }];
}

function keepLease(state: EntryState, nowMs: number): EntryCommand[] {
  const { placement, policy } = state;
  const intervalMs = policy.controllerLeaseMs / RENEWALS_IN_LEASE;
  if (placement.fence === null || nowMs - placement.keptAtMs < intervalMs) {
    return [];
  }
  placement.keptAtMs = nowMs;
  return [{ kind: EntryCommandKind.KeepController, fence: placement.fence }];
}

function createView(state: EntryState, control: EngineControl, nowMs: number): EngineView {
  const backend = state.backends.get(control.backendId)!;
  const { change, intent } = control;
  const order = control.pending?.order;
  const ordered = order?.adapter === null ? order : null;
  const loading = change?.isLoad === true ? change.model : null;
  const dropping = change?.isLoad === false ? change.model : null;
  return {
    backendId: control.backendId,
    models: control.models,
    loadingModel: loading ?? (ordered?.action === OrderAction.Load ? ordered.model : null),
    droppingModel: dropping ?? (ordered?.action === OrderAction.Unload ? ordered.model : null),
    intendedModel: intent !== null && intent.untilMs > nowMs ? intent.model : null,
    isSettled: nowMs - control.changedAtMs > MIN_RESIDENCE_MS,
    doubtful: control.doubtful,
    hostCopies: backend.entry.hostCopies,
    diskCopies: backend.entry.diskCopies,
    isFree:
      change === null &&
      control.pending === null &&
      !control.needsReport &&
      control.doubtful.length === 0 &&
      isOpenBackend(backend),
  };
}

/** Tells whether one more load from the weight store keeps within its limit. */
function mayLoadFromStore(state: EntryState, loadsPerSecond: number, nowMs: number): boolean {
  const { placement, policy } = state;
  const { loadWindowMs } = policy;
  placement.loadStartsMs = placement.loadStartsMs.filter((atMs) => nowMs - atMs < loadWindowMs);
  const limit = Math.floor((loadsPerSecond * loadWindowMs) / MS_PER_SECOND);
  return placement.loadStartsMs.length < Math.max(1, limit);
}

function executeStep(state: EntryState, step: PlanStep, nowMs: number): EntryCommand[] {
  const control = state.placement.engines.get(step.backendId)!;
  if (step.source === WeightSource.Store) {
    state.placement.loadStartsMs.push(nowMs);
  }
  control.intent = { model: step.wantedModel, untilMs: nowMs + INTENT_MS };
  const action = step.isLoad ? OrderAction.Load : OrderAction.Unload;
  const target = { model: step.model, adapter: null, reason: step.reason };
  return sendEngineOrder(state, control, action, target, nowMs);
}

function placeModels(state: EntryState, service: ForwardService, nowMs: number): EntryCommand[] {
  const profile = service.engine!;
  const { needs, variants } = collectNeeds(state, service, nowMs);
  noteAdapterDemand(state, variants, nowMs);
  const controls = [...state.placement.engines.values()].filter((control) => {
    const backend = state.backends.get(control.backendId);
    return backend?.entry.service === service.name && isOpenBackend(backend);
  });
  const timeWeights = listTimeWeights(state, service);
  const commands: EntryCommand[] = [];
  for (let i = 0; i < MAX_STEPS; i += 1) {
    const step = planNextStep({
      profile,
      engines: controls.map((control) => createView(state, control, nowMs)),
      needs,
      timeWeights,
      mayLoadFromStore: mayLoadFromStore(state, profile.loadsPerSecond, nowMs),
    });
    if (step === null) {
      break;
    }
    commands.push(...executeStep(state, step, nowMs));
  }
  return [
    ...commands,
    ...controls.flatMap((control) => stepAdapterTasks(state, control, profile, nowMs)),
  ];
}

function updateBoard(state: EntryState): void {
  const { fence } = state.placement;
  const engines = listEngineAdapters(state);
  const isSame = JSON.stringify(state.board?.engines) === JSON.stringify(engines);
  if (fence !== null && (!isSame || state.board?.fence !== fence)) {
    state.placement.boardSequence += 1;
    state.board = { fence, sequence: state.placement.boardSequence, engines };
  }
}

/** One round of the controller's work. */
function runController(state: EntryState, nowMs: number): EntryCommand[] {
  const controls = syncEngines(state, nowMs);
  if (!mayOrder(state, nowMs)) {
    return [];
  }
  const services = [...(state.deployment?.servicesByName.values() ?? [])];
  const commands = [
    ...askForReports(state, controls, nowMs),
    ...services
      .filter(({ engine }) => engine !== null)
      .flatMap((service) => placeModels(state, service, nowMs)),
  ];
  updateBoard(state);
  return commands;
}

/** Goes on with the placement at once when engines have told of a change. */
export function continueControl(state: EntryState, nowMs: number): EntryCommand[] {
  return state.placement.fence === null ? [] : runController(state, nowMs);
}

/** Renews or claims the lease, gives orders, and starts the timer of the next round. */
export function handleControllerTick(
  state: EntryState,
  _event: EntryEventOf<typeof EntryEventKind.ControllerTick>,
  nowMs: number,
): EntryCommand[] {
  const { controllerTickMs } = state.policy;
  const kind = EntryEventKind.ControllerTick;
  return [
    createEntryTimer(kind, controllerTickMs, { kind }),
    ...claimVacantLease(state, nowMs),
    ...keepLease(state, nowMs),
    ...continueControl(state, nowMs),
  ];
}

function loseLease(state: EntryState, reason: string): EntryCommand[] {
  const { placement } = state;
  if (placement.fence === null) {
    return [];
  }
  const { fence } = placement;
  placement.fence = null;
  placement.engines.clear();
  return [
    createEntryLog(LogLevel.Warn, EntryPart.Placement, 'This VM is no longer the controller.', {
      fence,
      reason,
    }),
  ];
}

/** Takes over who holds the lease by the store's word. */
export function handleControllerRead(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.ControllerRead>,
  nowMs: number,
): EntryCommand[] {
  const { holder } = event;
  const { placement, self } = state;
  const before = state.controller;
  state.controller = holder;
  placement.vacantSinceMs = holder === null ? (placement.vacantSinceMs ?? nowMs) : null;
  const isOwn = holder?.incarnation === self.incarnation;
  const lost = isOwn ? [] : loseLease(state, 'the lease has another holder');
  return before?.fence === holder?.fence
    ? lost
    : [
        ...lost,
        createEntryLog(LogLevel.Info, EntryPart.Placement, 'The controller has changed.', {
          controller: holder?.vmId ?? '',
          fence: holder?.fence ?? 0,
        }),
      ];
}

/** Takes over the answer to a claim or renewal of the lease. */
export function handleControllerAnswered(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.ControllerAnswered>,
  nowMs: number,
): EntryCommand[] {
  const { fence, isLost, sentAtMs } = event;
  const { placement, policy, self } = state;
  if (isLost) {
    return loseLease(state, 'the lease has ended');
  }
  if (fence === null) {
    return [];
  }
  const isNew = placement.fence !== fence;
  const heldUntilMs = sentAtMs + policy.controllerLeaseMs * LEASE_TRUST_PART;
  placement.heldUntilMs = isNew ? heldUntilMs : Math.max(placement.heldUntilMs, heldUntilMs);
  if (!isNew) {
    return [];
  }
  placement.fence = fence;
  placement.keptAtMs = sentAtMs;
  placement.engines.clear();
  placement.mayOrderFromMs = nowMs + policy.takeoverWaitMs;
  const { incarnation, peerAddress, vmId } = self;
  state.controller = { vmId, incarnation, peerAddress, fence };
  placement.vacantSinceMs = null;
  return [
    createEntryLog(LogLevel.Info, EntryPart.Placement, 'This VM is the controller.', { fence }),
  ];
}

function stepEngineTasks(state: EntryState, backendId: string, nowMs: number): EntryCommand[] {
  const control = state.placement.engines.get(backendId);
  const service = state.backends.get(backendId)?.entry.service ?? '';
  const profile = state.deployment?.servicesByName.get(service)?.engine ?? null;
  return control === undefined || profile === null || !mayOrder(state, nowMs)
    ? []
    : stepAdapterTasks(state, control, profile, nowMs);
}

/** Answers who asks for an adapter, and orders it if no engine holds it. */
export function handleAdapterAsked(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.AdapterAsked>,
  nowMs: number,
): EntryCommand[] {
  const { backendId, commands } = queueAdapter(state, event, nowMs);
  return backendId === null ? commands : [...commands, ...stepEngineTasks(state, backendId, nowMs)];
}

/** Takes note of an order's answer, and goes on with what waited for it. */
export function handleOrderAnswered(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.OrderAnswered>,
  nowMs: number,
): EntryCommand[] {
  const commands = noteOrderAnswer(state, event, nowMs);
  return [...commands, ...stepEngineTasks(state, event.backendId, nowMs)];
}

/** Takes over an engine's report. */
export function handleEngineReported(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.EngineReported>,
  nowMs: number,
): EntryCommand[] {
  return noteEngineReport(state, event, nowMs);
}

/** The lease ran on while the VM was suspended, and the monotonic clock did not. */
export function handleSuspended(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.Suspended>,
): EntryCommand[] {
  state.placement.heldUntilMs -= event.lostMs;
  return [
    createEntryLog(LogLevel.Warn, EntryPart.Lifecycle, 'The VM was suspended.', {
      lostMs: event.lostMs,
    }),
  ];
}
