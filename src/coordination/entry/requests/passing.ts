/**
 * Passes requests to other VMs while this VM does not reach the servers of their service.
 *
 * This VM has authenticated and charged the request, and keeps its caller and its deadline. The other VM sends it to a server, or
 * rejects it; it never passes it on. Its choice among servers, their limits and its retries are its own.
 */
import { RouteKind } from '../../../state/entry/deployment.js';
import { nextRandomInt } from '../../../state/random.js';
import { LogLevel } from '../../events.js';
import {
  createEntryLog,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
} from '../commands.js';
import type { ListedEntryVm } from '../peerMessage.js';
import {
  isCutOff,
  isPassingFutile,
  isReachedSince,
  recordOthersReach,
  recordPassingFutile,
} from '../servers/serviceReach.js';
import { isDomainAllowed } from '../servers/allowedRegions.js';
import { type PassResult, type PassTarget } from '../../../state/entry/passTargets.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from '../state.js';
import { getRequestLogFields, getWaitTimerId } from './requestCompletion.js';
import { getEventGapTimeoutMs } from './requestTimes.js';
import { dequeue } from './waitingQueue.js';

/** VMs that one request may be passed to. */
const MAX_PASSES = 5;
/** A request that could not connect to one server is sent to another one if one has answered within this time. */
const RECENTLY_REACHED_MS = 500;
/** Failed connects of one request after which it is passed although servers answer: those may use old connections. */
const MAX_CONNECT_FAILURES = 2;
/** Requests more that a VM of the own failure domain may have, for each core, than one of another domain. */
const REMOTE_DOMAIN_REQUESTS = 10;
/** The same for one that has brought an answer recently, before one of which that is not known. */
const UNKNOWN_VM_REQUESTS = 5;
/** How long an answer that a VM has brought shows that it reaches the servers of a service. */
const KNOWN_GOOD_MS = 2_000;
/** Connections to one VM; more requests wait for one of them. */
const MAX_CONNECTIONS = 64;
/** The same for one to which all connections are in use, before any other. */
const WAITING_REQUESTS = 1_000;
/** How long a VM that could not run a request gets none for the same service. */
const AVOID_TARGET_MS = 1_000;
/** The same for one that reaches no server of the service, or takes no passed requests. */
const AVOID_LASTING_MS = 3_000;

/** Counts how a request that was passed has ended. */
export function countPass({ passResults }: EntryState, result: PassResult): void {
  passResults.set(result, (passResults.get(result) ?? 0) + 1);
}

/** Returns what this VM knows of a VM that it passes requests to. */
function getPassTarget({ passTargets }: EntryState, vmId: string): PassTarget {
  const known = passTargets.get(vmId);
  if (known !== undefined) {
    return known;
  }
  const created: PassTarget = { inFlight: 0, avoidUntilMs: new Map(), answeredAtMs: new Map() };
  passTargets.set(vmId, created);
  return created;
}

/** Returns whether a request is to go to another VM rather than to a server. */
function isPassDue(state: EntryState, record: ForwardRecord, nowMs: number): boolean {
  const { hasLostServer, passedBy, service, unreachedBackendIds } = record;
  if (passedBy !== null) {
    return false;
  }
  const isUnreached =
    unreachedBackendIds.length > 0 &&
    !isReachedSince(state, service.name, nowMs - RECENTLY_REACHED_MS);
  return (
    isCutOff(state, service.name) ||
    isUnreached ||
    hasLostServer ||
    unreachedBackendIds.length >= MAX_CONNECT_FAILURES
  );
}

/**
 * Returns whether a request that may be passed goes to another server of this VM first: only one server has refused its connection,
 * and at once, as a server does that is down. Passing it would make its answer depend on another VM.
 */
export function isOwnServerFirst(
  state: EntryState,
  { hasLostServer, hasSlowConnect, service, unreachedBackendIds }: ForwardRecord,
): boolean {
  return (
    unreachedBackendIds.length < MAX_CONNECT_FAILURES &&
    !hasSlowConnect &&
    !hasLostServer &&
    !isCutOff(state, service.name)
  );
}

/** Returns whether a request is not to be sent to servers any more: this VM reaches none, and has passed it before. */
export function isBarredFromServers(state: EntryState, record: ForwardRecord): boolean {
  return record.triedVmIds.length > 0 && isCutOff(state, record.service.name);
}

/** Returns whether neither this VM nor those that it has passed requests to reach a server of a request's service. */
export function isServiceUnreachable(
  state: EntryState,
  { passedBy, service }: ForwardRecord,
  nowMs: number,
): boolean {
  return passedBy === null && isPassingFutile(state, service.name, nowMs);
}

/** Returns the requests of this VM that a VM has for each core, and what speaks against it in the same unit. */
function getTargetCost(
  state: EntryState,
  vm: ListedEntryVm,
  service: string,
  nowMs: number,
): number {
  const isRemote = vm.failureDomain !== state.self.failureDomain;
  const target = state.passTargets.get(vm.vmId);
  const isKnown = nowMs - (target?.answeredAtMs.get(service) ?? -Infinity) < KNOWN_GOOD_MS;
  const inFlight = target?.inFlight ?? 0;
  return (
    inFlight / vm.processorShare +
    (inFlight >= MAX_CONNECTIONS ? WAITING_REQUESTS : 0) +
    (isRemote ? REMOTE_DOMAIN_REQUESTS : 0) +
    (isKnown ? 0 : UNKNOWN_VM_REQUESTS)
  );
}

/** Returns the other VMs that may get requests for a service. */
function listTargets(state: EntryState, service: string, nowMs: number): ListedEntryVm[] {
  const { listedVms, passTargets, self } = state;
  return listedVms.filter(
    ({ vmId }) =>
      vmId !== self.vmId && (passTargets.get(vmId)?.avoidUntilMs.get(service) ?? 0) <= nowMs,
  );
}

/** Returns the VM to which a request is to be passed; undefined if it is to go to a server, or if there is no VM for it. */
export function findPassTarget(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): ListedEntryVm | undefined {
  const mayPass = record.triedVmIds.length < MAX_PASSES && nowMs < state.noDispatchFromMs;
  if (!mayPass || !isPassDue(state, record, nowMs)) {
    return undefined;
  }
  const service = record.service.name;
  const targets = listTargets(state, service, nowMs).filter(
    ({ failureDomain, vmId }) =>
      !record.triedVmIds.includes(vmId) &&
      !record.possiblyRunBackendIds.includes(vmId) &&
      isDomainAllowed(state, record, failureDomain),
  );
  // The scan starts at a random index, to break ties at random.
  const first = nextRandomInt(state.random, Math.max(1, targets.length));
  const rotated = [...targets.slice(first), ...targets.slice(0, first)];
  const costs = new Map(rotated.map((vm) => [vm, getTargetCost(state, vm, service, nowMs)]));
  const [lowest, ...others] = rotated;
  return lowest === undefined
    ? undefined
    : others.reduce((best, vm) => (costs.get(vm)! < costs.get(best)! ? vm : best), lowest);
}

/** Starts an attempt of a request at another VM. */
export function passTo(
  state: EntryState,
  record: ForwardRecord,
  { peerAddress, vmId }: ListedEntryVm,
  nowMs: number,
): EntryCommand[] {
  const { requestId } = record.request;
  dequeue(state, record);
  record.phase = ForwardPhase.Dispatched;
  record.attempt += 1;
  record.attemptAnsweredAtMs = null;
  record.backendId = null;
  record.passedTo = vmId;
  record.dispatchedAtMs = nowMs;
  getPassTarget(state, vmId).inFlight += 1;
  // The other VM retries the request, so only the loss of that VM itself is noticed here.
  const timeoutMs = getEventGapTimeoutMs(record);
  return [
    { kind: EntryCommandKind.CancelTimer, timerId: getWaitTimerId(requestId) },
    {
      kind: EntryCommandKind.Pass,
      requestId,
      attempt: record.attempt,
      vmId,
      address: peerAddress,
      maxConnections: MAX_CONNECTIONS,
      remainingMs: Math.max(1, record.deadlineAtMs - nowMs),
      startTimeoutMs: timeoutMs,
      eventGapTimeoutMs: timeoutMs,
      isStream: record.route.kind === RouteKind.Stream,
      pass: {
        vmId: state.self.vmId,
        incarnation: state.self.incarnation,
        configurationVersion: state.deployment?.version ?? 0,
        service: record.service.name,
        workspace: record.workspace?.name ?? null,
        streamVersion: record.streamVersion,
        possiblyRunIds: record.possiblyRunBackendIds,
        // The other VM may reach servers that this one could not connect to.
        notRunIds: record.notRunBackendIds.filter((id) => !record.unreachedBackendIds.includes(id)),
      },
    },
    createEntryLog(
      LogLevel.Debug,
      EntryLogPrefix.Request,
      'The request was passed to another VM.',
      getRequestLogFields(record, nowMs),
    ),
  ];
}

/** Records that a VM has brought an answer of a server. */
export function recordPassAnswered(state: EntryState, record: ForwardRecord, nowMs: number): void {
  if (record.passedTo !== null) {
    getPassTarget(state, record.passedTo).answeredAtMs.set(record.service.name, nowMs);
    recordOthersReach(state, record.service.name, nowMs);
  }
}

/** Records that a VM could not run a request for a service, so that it gets none for some time. */
export function recordPassReturned(
  state: EntryState,
  vmId: string,
  service: string,
  isLasting: boolean,
  nowMs: number,
): void {
  const { answeredAtMs, avoidUntilMs } = getPassTarget(state, vmId);
  answeredAtMs.delete(service);
  avoidUntilMs.set(service, nowMs + (isLasting ? AVOID_LASTING_MS : AVOID_TARGET_MS));
  if (listTargets(state, service, nowMs).length === 0) {
    recordPassingFutile(state, service, nowMs + AVOID_TARGET_MS);
  }
}

/**
 * Returns whether a passed request that could not connect is to go back to the VM that has passed it, since no server has answered
 * this VM recently: that VM knows others.
 */
export function isReturnDue(state: EntryState, record: ForwardRecord, nowMs: number): boolean {
  const { passedBy, service, unreachedBackendIds } = record;
  return (
    passedBy !== null &&
    unreachedBackendIds.length > 0 &&
    !isReachedSince(state, service.name, nowMs - RECENTLY_REACHED_MS)
  );
}
