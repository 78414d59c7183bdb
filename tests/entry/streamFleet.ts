/**
 * Several entry VMs' event handlers on one virtual time, with servers of several software versions and callers that take their
 * streams up again.
 */
import { CloseCause } from '../../src/coordination/entry/closeCause.js';
import { EntryCommandKind, type EntryCommandOf } from '../../src/coordination/entry/commands.js';
import {
  type EntryEvent,
  EntryEventKind,
  type ForwardRequest,
} from '../../src/coordination/entry/events.js';
import type { BackendEntry } from '../../src/state/entry/backends.js';
import { shiftStreamGroup, type StreamGroup } from '../../src/state/entry/streamOrigins.js';
import { RunStatus } from '../../src/state/types.js';
import {
  createPeerMessage,
  createTestEntry,
  createTestRequest,
  createTestVm,
  type TestVm,
} from './fixtures.js';

/** What becomes of a stream that its caller takes up. */
export const TakeUpOutcome = {
  SameVersion: 'same version',
  OtherVersion: 'other version',
  NotRun: 'not run',
  /** It was neither sent to a server nor rejected. */
  Open: 'open',
} as const;
export type TakeUpOutcome = (typeof TakeUpOutcome)[keyof typeof TakeUpOutcome];

/** Time between two steps of a play, in which timers fire. */
const STEP_MS = 100;
/** Longest time of a watch of the store. */
const WATCH_MS = 500;
/** Interval at which VMs that are in step hear the reports of one another. */
const REPORT_INTERVAL_MS = 400;
/** Time-out of a read of the store. */
const READ_TIMEOUT_MS = 500;
/** A take-up that is neither sent nor rejected within this time is open. */
const MAX_TAKE_UP_MS = 1_500;

/** How a VM is out of step: it hears neither the store nor the other VMs. */
export const Trouble = {
  /** Calls time out. */
  Silent: 'silent',
  /** Calls fail at once. */
  Reset: 'reset',
} as const;
export type Trouble = (typeof Trouble)[keyof typeof Trouble];

interface Timer {
  readonly atMs: number;
  readonly event: EntryEvent;
}

interface FleetVm {
  /** Differs between the processes of a VM. */
  readonly number: number;
  readonly vm: TestVm;
  readonly timers: Map<string, Timer>;
  /** The server of each request. */
  readonly serverIds: Map<string, string>;
  readonly refusals: Map<string, string>;
}

/** The VMs of a play. Mutable. */
export interface StreamFleet {
  readonly vms: Map<string, FleetVm>;
  servers: readonly BackendEntry[];
  revision: number;
  nowMs: number;
  requestCount: number;
  startCount: number;
  /** The batches that VMs have written, with the absolute times of their groups. */
  readonly batches: Map<string, readonly StreamGroup[]>;
  isStoreAway: boolean;
  /** The VMs that are out of step. */
  readonly troubles: Map<string, Trouble>;
  /** What is to happen at a time. */
  readonly plans: { readonly atMs: number; readonly act: () => void }[];
  /** The commands that were sent to the store. */
  readonly storeCalls: EntryCommandKind[];
  /** The software version that began each stream, by the caller's id of the request. */
  readonly versionsByStream: Map<string, string>;
}

/** Creates one server for each version. */
export function createServers(versions: readonly string[]): BackendEntry[] {
  return versions.map((softwareVersion, index) =>
    createTestEntry(`e${index + 1}`, 'llm', { softwareVersion }),
  );
}

type CommandHandler = (
  fleet: StreamFleet,
  vmId: string,
  command: never,
) => readonly EntryEvent[] | void;

const COMMAND_HANDLERS: Partial<Readonly<Record<EntryCommandKind, CommandHandler>>> = {
  [EntryCommandKind.StartTimer]: (
    { nowMs, vms },
    vmId,
    { delayMs, event, timerId }: { delayMs: number; event: EntryEvent; timerId: string },
  ) => {
    vms.get(vmId)?.timers.set(timerId, { atMs: nowMs + delayMs, event });
  },
  [EntryCommandKind.CancelTimer]: ({ vms }, vmId, { timerId }: { timerId: string }) => {
    vms.get(vmId)?.timers.delete(timerId);
  },
  [EntryCommandKind.Dispatch]: (
    { vms },
    vmId,
    { backendId, requestId }: { backendId: string; requestId: string },
  ) => {
    vms.get(vmId)?.serverIds.set(requestId, backendId);
  },
  [EntryCommandKind.Refuse]: (
    { vms },
    vmId,
    { refusal, requestId }: { refusal: { run: string }; requestId: string },
  ) => {
    vms.get(vmId)?.refusals.set(requestId, refusal.run);
  },
  [EntryCommandKind.WriteStreamOrigins]: (
    { batches, isStoreAway, nowMs, storeCalls, troubles, vms },
    vmId,
    { batch, groups }: EntryCommandOf<typeof EntryCommandKind.WriteStreamOrigins>,
  ) => {
    const kind = EntryEventKind.StreamOriginsWritten;
    storeCalls.push(EntryCommandKind.WriteStreamOrigins);
    if (isStoreAway || troubles.has(vmId)) {
      return [{ kind, version: null }];
    }
    const key = `${vmId}/${vms.get(vmId)!.number}/${batch}`;
    batches.set(
      key,
      groups.map((group) => shiftStreamGroup(group, nowMs)),
    );
    return [{ kind, version: nowMs }];
  },
  [EntryCommandKind.ReadStreamOrigins]: (fleet, vmId) => {
    const { batches, isStoreAway, nowMs, revision, storeCalls, troubles, vms } = fleet;
    const kind = EntryEventKind.StreamOriginsRead;
    const failure = { kind, groups: null, revision: 0 };
    storeCalls.push(EntryCommandKind.ReadStreamOrigins);
    if (troubles.get(vmId) === Trouble.Silent) {
      vms.get(vmId)!.timers.set(kind, { atMs: nowMs + READ_TIMEOUT_MS, event: failure });
      return [];
    }
    const groups = [...batches.values()].flat().map((group) => shiftStreamGroup(group, -nowMs));
    return [isStoreAway || troubles.has(vmId) ? failure : { kind, groups, revision }];
  },
};

function post(fleet: StreamFleet, vmId: string, event: EntryEvent): void {
  const { vm } = fleet.vms.get(vmId)!;
  vm.step(event, fleet.nowMs)
    .flatMap((command) => COMMAND_HANDLERS[command.kind]?.(fleet, vmId, command as never) ?? [])
    .forEach((reply) => post(fleet, vmId, reply));
}

/** Lets a VM know what the store has of the servers; without an argument, all VMs that are in step. */
function readServers(
  fleet: StreamFleet,
  vmIds = [...fleet.vms.keys()].filter((vmId) => !fleet.troubles.has(vmId)),
): void {
  const { revision, servers } = fleet;
  const changes = servers.map((entry) => ({ id: entry.id, revision, entry }));
  const kind = EntryEventKind.BackendsRead;
  vmIds.forEach((vmId) => {
    post(fleet, vmId, { kind, isSnapshot: true, changes, revision, source: 'test' });
    post(fleet, vmId, { kind: EntryEventKind.StoreContentsRead, revision, ageMs: 0 });
  });
}

/** Lets a VM know the others from the store. */
function readVms({ vms }: StreamFleet, vmId: string): EntryEvent {
  const others = [...vms.keys()].filter((otherId) => otherId !== vmId);
  const { self } = vms.get(vmId)!.vm.state;
  const listed = others.map((otherId) => ({ ...self, vmId: otherId, peerAddress: `${otherId}:1` }));
  return { kind: EntryEventKind.VmsRead, vms: [self, ...listed] };
}

/** Lets the VMs that are in step hear the reports of one another. */
function exchangeReports(fleet: StreamFleet): void {
  const { nowMs, troubles, vms } = fleet;
  const heard = [...vms].filter(([vmId]) => !troubles.has(vmId));
  const kind = EntryEventKind.PeerMessage;
  heard.forEach(([vmId]) => {
    const reports = heard
      .filter(([otherId]) => otherId !== vmId)
      .map(([otherId, { number, vm }]) => ({
        vmId: otherId,
        incarnation: String(number),
        failureDomain: vm.state.self.failureDomain,
        peerAddress: `${otherId}:1`,
        sequence: nowMs,
        configurationVersion: 1,
        backendsRevision: vm.state.backendsRevision,
        isLeaving: false,
        workspaceDemands: [],
        vmCount: 1,
        ageMs: 0,
      }));
    post(fleet, vmId, { kind, message: createPeerMessage({ reports }), replyId: null });
  });
}

/** Starts a VM, which then knows the servers. */
export function startVm(fleet: StreamFleet, vmId: string): void {
  fleet.startCount += 1;
  const vm = createTestVm({}, fleet.servers, fleet.nowMs, fleet.startCount);
  fleet.vms.set(vmId, {
    number: fleet.startCount,
    vm,
    timers: new Map(),
    serverIds: new Map(),
    refusals: new Map(),
  });
  post(fleet, vmId, { kind: EntryEventKind.MaintenanceTick });
  readServers(fleet, [vmId]);
  [...fleet.vms.keys()].forEach((otherId) => post(fleet, otherId, readVms(fleet, otherId)));
}

/** Ends VMs without a trace. */
export function killVms({ vms }: StreamFleet, vmIds: readonly string[]): void {
  vmIds.forEach((vmId) => vms.delete(vmId));
}

/** Lets time pass, with the timers of all VMs. */
export function advance(fleet: StreamFleet, durationMs: number): void {
  const untilMs = fleet.nowMs + durationMs;
  while (fleet.nowMs < untilMs) {
    fleet.nowMs = Math.min(untilMs, fleet.nowMs + STEP_MS);
    const { nowMs, plans } = fleet;
    const due = plans.filter(({ atMs }) => atMs <= nowMs);
    plans.splice(0, plans.length, ...plans.filter(({ atMs }) => atMs > nowMs));
    due.forEach(({ act }) => act());
    if (nowMs % WATCH_MS === 0 && !fleet.isStoreAway) {
      readServers(fleet);
    }
    if (nowMs % REPORT_INTERVAL_MS === 0) {
      exchangeReports(fleet);
    }
    fleet.vms.forEach(({ timers }, vmId) => {
      [...timers]
        .filter(([, { atMs }]) => atMs <= fleet.nowMs)
        .forEach(([timerId, { event }]) => {
          timers.delete(timerId);
          post(fleet, vmId, event);
        });
    });
  }
}

/** Replaces the servers; all VMs learn of it. */
export function setServers(fleet: StreamFleet, servers: readonly BackendEntry[]): void {
  fleet.servers = servers;
  fleet.revision += 1;
  readServers(fleet);
}

/** Puts a VM out of step. */
export function startTrouble({ troubles }: StreamFleet, vmId: string, trouble: Trouble): void {
  troubles.set(vmId, trouble);
}

/** Ends the trouble of a VM, which hears at once what was on its way, and later what the store has by then. */
export function endTrouble(fleet: StreamFleet, vmId: string, readAfterMs: number): void {
  const { nowMs, plans, troubles, vms } = fleet;
  troubles.delete(vmId);
  const { backendsRevision: revision } = vms.get(vmId)!.vm.state;
  const isReachable = true;
  const kind = EntryEventKind.StoreReachabilityRead;
  post(fleet, vmId, { kind, isReachable, ageMs: 0 });
  post(fleet, vmId, { kind: EntryEventKind.StoreContentsRead, revision, ageMs: null });
  plans.push({ atMs: nowMs + readAfterMs, act: () => readServers(fleet, [vmId]) });
}

/** Lets a VM learn that it was suspended. */
export function reportSuspension(fleet: StreamFleet, vmId: string, lostMs: number): void {
  post(fleet, vmId, { kind: EntryEventKind.Suspended, lostMs });
}

/** Creates VMs that have served with some servers for a while. */
export function createStreamFleet(
  vmIds: readonly string[],
  servers: readonly BackendEntry[],
): StreamFleet {
  const fleet: StreamFleet = {
    vms: new Map(),
    servers,
    revision: 10,
    nowMs: 100_000,
    requestCount: 0,
    startCount: 0,
    batches: new Map(),
    isStoreAway: false,
    troubles: new Map(),
    plans: [],
    storeCalls: [],
    versionsByStream: new Map(),
  };
  vmIds.forEach((vmId) => startVm(fleet, vmId));
  advance(fleet, 1_000);
  return fleet;
}

function getVersion({ servers }: StreamFleet, serverId: string): string | undefined {
  return servers.find(({ id }) => id === serverId)?.softwareVersion;
}

function sendRequest(
  fleet: StreamFleet,
  vmId: string,
  changes: Partial<ForwardRequest>,
): ForwardRequest {
  fleet.requestCount += 1;
  const request = createTestRequest(`r${fleet.requestCount}`, '/draft/x', {
    promptTokens: 10,
    maxOutputTokens: 1,
    ...changes,
  });
  post(fleet, vmId, { kind: EntryEventKind.RequestArrived, request, delayMs: 0 });
  return request;
}

/** Delivers the first event of a request's answer to its caller. */
function deliverFirstEvent(fleet: StreamFleet, vmId: string, requestId: string): void {
  const kind = EntryEventKind.AnswerStarted;
  post(fleet, vmId, { kind, requestId, attempt: 1, load: null });
}

/** Lets the caller of a request leave. */
export function leave(fleet: StreamFleet, vmId: string, requestId: string): void {
  post(fleet, vmId, {
    kind: EntryEventKind.CallerDisconnected,
    requestId,
    closedBy: CloseCause.Caller,
  });
}

/** Starts streams whose callers get their first event. Returns the requests. */
export function beginStreams(fleet: StreamFleet, vmId: string, count: number): ForwardRequest[] {
  return Array.from({ length: count }, () => {
    const request = sendRequest(fleet, vmId, {});
    const serverId = fleet.vms.get(vmId)!.serverIds.get(request.requestId) ?? '';
    fleet.versionsByStream.set(request.callerRequestId, getVersion(fleet, serverId) ?? '');
    deliverFirstEvent(fleet, vmId, request.requestId);
    return request;
  });
}

/** Sends a request that takes up the stream that another one has begun. */
export function sendTakeUp(
  fleet: StreamFleet,
  vmId: string,
  resumedRequestId: string,
  changes: Partial<ForwardRequest> = {},
): ForwardRequest {
  return sendRequest(fleet, vmId, { lastEventId: '9', resumedRequestId, ...changes });
}

/** Lets all VMs learn that the store was restored from a copy. */
export function restoreStore(fleet: StreamFleet): void {
  const kind = EntryEventKind.StoreRestored;
  [...fleet.vms.keys()].forEach((vmId) =>
    post(fleet, vmId, { kind, revision: 2, knownRevision: 1, source: 'test' }),
  );
}

/** Takes a stream up that a request has begun; `changes` are those of the request that takes it up. */
export function takeUp(
  fleet: StreamFleet,
  vmId: string,
  begun: ForwardRequest,
  changes: Partial<ForwardRequest> = {},
): { readonly request: ForwardRequest; readonly outcome: TakeUpOutcome } {
  const resumedRequestId = begun.resumedRequestId ?? begun.callerRequestId;
  const request = sendTakeUp(fleet, vmId, resumedRequestId, changes);
  const { refusals, serverIds } = fleet.vms.get(vmId)!;
  const { requestId } = request;
  const untilMs = fleet.nowMs + MAX_TAKE_UP_MS;
  while (!serverIds.has(requestId) && !refusals.has(requestId) && fleet.nowMs < untilMs) {
    advance(fleet, STEP_MS);
  }
  const serverId = serverIds.get(requestId);
  if (serverId === undefined) {
    const isNotRun = refusals.get(requestId) === RunStatus.NotRun;
    return { request, outcome: isNotRun ? TakeUpOutcome.NotRun : TakeUpOutcome.Open };
  }
  deliverFirstEvent(fleet, vmId, requestId);
  const isSame = getVersion(fleet, serverId) === fleet.versionsByStream.get(resumedRequestId);
  return { request, outcome: isSame ? TakeUpOutcome.SameVersion : TakeUpOutcome.OtherVersion };
}
