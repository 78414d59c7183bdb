/**
 * Many entry VMs on a virtual time that exchange their reports and the contents of a store. The VMs run their real event
 * handlers and mirrors; the store, its readers and the calls between VMs are simulated.
 */
import { toBinary } from '@bufbuild/protobuf';
import { addDemand } from '../../src/coordination/entry/exchange/demand.js';
import {
  type EntryCommand,
  EntryCommandKind,
  type EntryCommandOf,
} from '../../src/coordination/entry/commands.js';
import { type EntryEvent, EntryEventKind } from '../../src/coordination/entry/events.js';
import { type ListedEntryVm, StoreRequest } from '../../src/coordination/entry/peerMessage.js';
import type { PeerCallPurpose } from '../../src/coordination/entry/exchange/peerCallPurpose.js';
import { stepEntry } from '../../src/coordination/entry/handlers.js';
import { updateVmsLastSeen } from '../../src/coordination/entry/liveVms.js';
import {
  createEntryState,
  type EntryState,
  RelayRole,
} from '../../src/coordination/entry/state.js';
import { encodePeerMessage, encodePeerRequest } from '../../src/protocol/entry/peerMessages.js';
import { PeerMessageSchema } from '../../src/protocol/gen/entry_pb.js';
import {
  createStoreMirror,
  readStoreMirror,
  type StoreMirror,
  updateStoreMirror,
} from '../../src/state/entry/storeMirror.js';
import { createRandom, nextRandom, nextRandomInt } from '../../src/state/random.js';
import type { StoredItem } from '../../src/state/storedItems.js';
import { createStoreRevision, getStoreEra } from '../../src/state/storeRevision.js';
import { createTestDeployment, TEST_POLICY, TEST_WORKSPACE } from '../entry/fixtures.js';

const STEP_MS = 40;
/** Time from a call to its answer, in which due timers fire. */
const ANSWER_MS = 2 * STEP_MS;
const STORE_READ_MS = 200;
const CALL_TIMEOUT_MS = 700;
const WATCH_TIMEOUT_MARGIN_MS = 600;
const STRONG_VMS_PER_DOMAIN = 3;
const DEMAND_PERIOD_MS = 400;

export interface ExchangeFleetOptions {
  readonly seed: number;
  readonly vmCount: number;
  readonly domainCount: number;
  /** Fraction of the calls between VMs that are lost, or whose answers are. */
  readonly loss: number;
  readonly workspaces: readonly string[];
  /** Rate of each workspace; where it is high enough, all VMs have a share, divided by demand. */
  readonly rateTokensPerSecond: number;
  /** Number of models for which each VM has a demand. */
  readonly modelsPerVm: number;
}

export interface ExchangeVm {
  readonly listed: ListedEntryVm;
  state: EntryState;
  mirror: StoreMirror;
  /** False while the VM is frozen: it does nothing, and calls to it time out. */
  isRunning: boolean;
  isCutFromVms: boolean;
  isRefusedByStore: boolean;
  /** True while calls to the store get no answer: they fail only after the timeout of a watch. */
  isStoreSilent: boolean;
  isReader: boolean;
  isStoreConfirmed: boolean;
  confirmedAtMs: number;
  storeCalls: number;
  sentBytes: number;
  receivedBytes: number;
  readonly timers: Map<string, { readonly atMs: number; readonly event: EntryEvent }>;
}

export interface ExchangeFleet {
  readonly vms: readonly ExchangeVm[];
  readonly getNowMs: () => number;
  readonly getStoreRevision: () => number;
  readonly write: (key: string, value: string | null) => void;
  /** Brings the store back from a copy without its latest changes. */
  readonly restore: (lostChanges: number) => void;
  readonly restart: (vm: ExchangeVm) => void;
  /** Restarts a VM that knows neither the configuration nor the other VMs until it hears of them. */
  readonly restartUnconfigured: (vm: ExchangeVm) => void;
  /** Passes an event to a VM. */
  readonly post: (vm: ExchangeVm, event: EntryEvent) => void;
  /** Returns the number of calls between VMs for a purpose. */
  readonly countCalls: (purpose: PeerCallPurpose) => number;
  readonly runFor: (durationMs: number) => void;
  /** Tokens per second that each VM adds to its demand for each workspace. */
  readonly setDemand: (tokensPerSecond: number) => void;
}

/** Creates a fleet whose VMs are all listed. */
export function createExchangeFleet(options: ExchangeFleetOptions): ExchangeFleet {
  const { domainCount, loss, modelsPerVm, rateTokensPerSecond, seed, vmCount, workspaces } =
    options;
  const random = createRandom(seed);
  const items = new Map<string, StoredItem>();
  let history: StoredItem[] = [];
  let era = 0;
  let revision = 1;
  let nowMs = 10_000;
  let demandTokensPerSecond = 0;
  const callCounts = new Map<PeerCallPurpose, number>();
  const pending: { readonly atMs: number; readonly run: () => void }[] = [];

  const listedVms: ListedEntryVm[] = Array.from({ length: vmCount }, (_, i) => ({
    vmId: `edge-domain-${i % domainCount}-${i}`,
    incarnation: '0',
    failureDomain: `domain-${i % domainCount}`,
    peerAddress: `10.${i % domainCount}.0.${i}:7600`,
    processorShare: i < domainCount * STRONG_VMS_PER_DOMAIN ? 1.35 : 0.324,
  }));

  const createUnconfiguredState = (
    listed: ListedEntryVm,
    index: number,
    start: number,
  ): EntryState => {
    const self = { ...listed, incarnation: `${start}` };
    return createEntryState(self, TEST_POLICY, seed + index, nowMs);
  };

  const createState = (listed: ListedEntryVm, index: number, start: number): EntryState => {
    const state = createUnconfiguredState(listed, index, start);
    const workspacesByName = new Map(
      workspaces.map((name) => [name, { ...TEST_WORKSPACE, name, rateTokensPerSecond }]),
    );
    const deployment = { ...createTestDeployment(), workspacesByName };
    stepEntry(
      state,
      { kind: EntryEventKind.ConfigurationRead, deployment, revision: 1, source: 'test' },
      nowMs,
    );
    return state;
  };

  const vms: ExchangeVm[] = listedVms.map((listed, index) => ({
    listed,
    state: createState(listed, index, 0),
    mirror: createStoreMirror(),
    isRunning: true,
    isCutFromVms: false,
    isRefusedByStore: false,
    isStoreSilent: false,
    isReader: false,
    isStoreConfirmed: false,
    confirmedAtMs: Number.NEGATIVE_INFINITY,
    storeCalls: 0,
    sentBytes: 0,
    receivedBytes: 0,
    timers: new Map(),
  }));

  const at = (atMs: number, run: () => void): void => {
    pending.push({ atMs, run });
  };

  const isStoreCurrent = (vm: ExchangeVm): boolean =>
    vm.isStoreConfirmed && nowMs - vm.confirmedAtMs < TEST_POLICY.maxStoreAgeMs;

  const post = (vm: ExchangeVm, event: EntryEvent): void => {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the VMs and the network call each other
    execute(vm, stepEntry(vm.state, event, nowMs));
  };

  const countBytes = (from: ExchangeVm, to: ExchangeVm, bytes: number): void => {
    from.sentBytes += bytes;
    to.receivedBytes += bytes;
  };

  const sendMessage = (
    vm: ExchangeVm,
    command: EntryCommandOf<typeof EntryCommandKind.SendPeerMessage>,
  ): void => {
    const { message, peerAddress, purpose, storeRequest, vmId } = command;
    const { state } = vm;
    callCounts.set(purpose, (callCounts.get(purpose) ?? 0) + 1);
    const postLater = (delayMs: number, run: () => void): void =>
      at(nowMs + delayMs, () => {
        if (vm.state === state && vm.isRunning) {
          run();
        }
      });
    const fail = (): void =>
      postLater(CALL_TIMEOUT_MS, () => post(vm, { kind: EntryEventKind.PeerCallFailed, vmId }));
    const receiver = vms.find(({ listed }) => listed.peerAddress === peerAddress)!;
    const isLost = nextRandom(random) < loss || vm.isCutFromVms || receiver.isCutFromVms;
    if (isLost || !receiver.isRunning) {
      fail();
      return;
    }
    const storeAfter = storeRequest === StoreRequest.None ? null : vm.mirror.revision;
    const request = encodePeerRequest(message, storeAfter);
    countBytes(vm, receiver, toBinary(PeerMessageSchema, request).length);
    const replies = stepEntry(
      receiver.state,
      { kind: EntryEventKind.PeerMessage, message, replyId: 'reply' },
      nowMs,
    );
    const reply = replies.find(({ kind }) => kind === EntryCommandKind.ReplyToPeer);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
    execute(receiver, replies);
    if (reply?.kind !== EntryCommandKind.ReplyToPeer || nextRandom(random) < loss) {
      fail();
      return;
    }
    const changes = storeAfter === null ? null : readStoreMirror(receiver.mirror, storeAfter);
    const isCurrent = isStoreCurrent(receiver);
    const ageMs = isCurrent ? nowMs - receiver.confirmedAtMs : 0;
    const sentAtMs = nowMs;
    const answer = encodePeerMessage(reply.message, { changes, isCurrent, ageMs });
    countBytes(receiver, vm, toBinary(PeerMessageSchema, answer).length);
    postLater(ANSWER_MS, () => {
      if (changes !== null) {
        updateStoreMirror(vm.mirror, changes);
      }
      post(vm, { kind: EntryEventKind.PeerMessage, message: reply.message, replyId: null });
      if (storeRequest === StoreRequest.Relay && changes !== null && isCurrent) {
        const totalAgeMs = ageMs + nowMs - sentAtMs;
        const confirmedAtMs = Math.max(vm.confirmedAtMs, nowMs - totalAgeMs);
        Object.assign(vm, { isStoreConfirmed: true, confirmedAtMs });
        const kind = EntryEventKind.StoreReachabilityRead;
        post(vm, { kind, isReachable: true, ageMs: totalAgeMs });
      } else if (storeRequest === StoreRequest.Relay) {
        post(vm, { kind: EntryEventKind.PeerCallFailed, vmId });
      }
    });
  };

  type Executor<K extends EntryCommandKind> = (vm: ExchangeVm, command: EntryCommandOf<K>) => void;
  const executors: { readonly [K in EntryCommandKind]?: Executor<K> } = {
    [EntryCommandKind.SendPeerMessage]: sendMessage,
    [EntryCommandKind.SetStoreAccess]: (vm, { isReader }) => {
      Object.assign(vm, { isReader });
    },
    [EntryCommandKind.StartTimer]: (vm, { delayMs, event, timerId }) => {
      vm.timers.set(timerId, { atMs: nowMs + delayMs, event });
    },
  };

  function execute(vm: ExchangeVm, commands: readonly EntryCommand[]): void {
    commands.forEach((command) => {
      const executor = executors[command.kind] as Executor<EntryCommandKind> | undefined;
      executor?.(vm, command);
    });
  }

  const readStore = (vm: ExchangeVm): void => {
    if (vm.isStoreSilent) {
      at(nowMs + TEST_POLICY.watchWaitMs + WATCH_TIMEOUT_MARGIN_MS, () => {
        Object.assign(vm, { isStoreConfirmed: vm.isStoreConfirmed && !vm.isStoreSilent });
      });
      return;
    }
    Object.assign(vm, { storeCalls: vm.storeCalls + 1, isStoreConfirmed: !vm.isRefusedByStore });
    if (vm.isRefusedByStore) {
      post(vm, { kind: EntryEventKind.StoreReachabilityRead, isReachable: false, ageMs: 0 });
      return;
    }
    Object.assign(vm, { confirmedAtMs: nowMs });
    post(vm, { kind: EntryEventKind.StoreReachabilityRead, isReachable: true, ageMs: 0 });
    const isSnapshot = vm.mirror.revision === 0 || getStoreEra(vm.mirror.revision) !== era;
    const changed = history.filter(({ version }) => version > vm.mirror.revision);
    updateStoreMirror(vm.mirror, {
      isSnapshot,
      items: isSnapshot ? [...items.values()] : changed,
      revision,
    });
  };

  const fireTimers = (vm: ExchangeVm): void => {
    [...vm.timers.entries()]
      .filter(([, { atMs }]) => atMs <= nowMs)
      .forEach(([timerId, { event }]) => {
        vm.timers.delete(timerId);
        post(vm, event);
      });
  };

  const addDemands = (vm: ExchangeVm, index: number): void => {
    const tokens = (demandTokensPerSecond * DEMAND_PERIOD_MS) / 1_000;
    workspaces.forEach((name) => addDemand(vm.state.workspaceDemand, name, tokens, nowMs));
    for (let i = 0; i < modelsPerVm && tokens > 0; i += 1) {
      const name = `service m${(index + i * 7) % 200}`;
      addDemand(vm.state.modelDemand, name, tokens, nowMs);
      addDemand(vm.state.weightedModelDemand, name, tokens, nowMs);
    }
  };

  const startExchange = (vm: ExchangeVm): void => {
    const tick = nextRandomInt(random, TEST_POLICY.peerIntervalMs);
    const event = { kind: EntryEventKind.PeerTick } as const;
    vm.timers.set(event.kind, { atMs: nowMs + tick, event });
  };
  const start = (vm: ExchangeVm): void => {
    vm.timers.clear();
    post(vm, { kind: EntryEventKind.VmsRead, vms: listedVms });
    startExchange(vm);
  };
  vms.forEach(start);

  const runVm = (vm: ExchangeVm, index: number): void => {
    if (!vm.isRunning) {
      return;
    }
    if (nowMs % DEMAND_PERIOD_MS < STEP_MS) {
      addDemands(vm, index);
      updateVmsLastSeen(vm.state, nowMs);
    }
    if (vm.isReader && (nowMs + index * STEP_MS) % STORE_READ_MS < STEP_MS) {
      readStore(vm);
    }
    fireTimers(vm);
  };

  const runStep = (): void => {
    const due = pending.filter(({ atMs }) => atMs <= nowMs);
    pending.splice(0, pending.length, ...pending.filter(({ atMs }) => atMs > nowMs));
    due.forEach(({ run }) => run());
    vms.forEach(runVm);
  };

  return {
    vms,
    post,
    countCalls: (purpose) => callCounts.get(purpose) ?? 0,
    getNowMs: () => nowMs,
    getStoreRevision: () => revision,
    write: (key, value) => {
      revision += 1;
      const item = { key, value, version: revision };
      history.push(item);
      if (value === null) {
        items.delete(key);
      } else {
        items.set(key, item);
      }
    },
    restore: (lostChanges) => {
      history = history.slice(0, history.length - lostChanges);
      era += 1;
      revision = createStoreRevision(era, history.length + 1);
      items.clear();
      history.forEach((item) => {
        if (item.value === null) {
          items.delete(item.key);
        } else {
          items.set(item.key, item);
        }
      });
    },
    restart: (vm) => {
      const index = vms.indexOf(vm);
      const state = createState(vm.listed, index, nowMs);
      Object.assign(vm, { state, mirror: createStoreMirror(), isReader: false });
      start(vm);
    },
    restartUnconfigured: (vm) => {
      const state = createUnconfiguredState(vm.listed, vms.indexOf(vm), nowMs);
      Object.assign(vm, { state, mirror: createStoreMirror(), isReader: false });
      vm.timers.clear();
      startExchange(vm);
    },
    setDemand: (tokensPerSecond) => {
      demandTokensPerSecond = tokensPerSecond;
    },
    runFor: (durationMs) => {
      const endMs = nowMs + durationMs;
      while (nowMs < endMs) {
        nowMs += STEP_MS;
        runStep();
      }
    },
  };
}

/** Returns the VMs of a role. */
export function findByRole(fleet: ExchangeFleet, role: RelayRole): ExchangeVm[] {
  return fleet.vms.filter(({ state }) => state.relayRole === role);
}
