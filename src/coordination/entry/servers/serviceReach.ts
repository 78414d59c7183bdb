/**
 * Decides whether this VM is cut off from the servers of a service, and notices when it reaches them again.
 *
 * Attempts that fail to connect show that servers are not reached, and so do probes where nothing answers. While the VM is cut off, it probes them in turn, and its
 * requests are passed to other VMs. In calm nothing is sent for this.
 */
import { listOffering } from '../../../state/entry/backendLists.js';
import type { Backend } from '../../../state/entry/backends.js';
import { getProcessKey } from '../../../state/entry/crashEvidence.js';
import {
  createServiceReach,
  endCutOff,
  recordProbed,
  recordReached,
  recordUnreached,
  type ServiceReach,
} from '../../../state/entry/serviceReach.js';
import { nextRandom } from '../../../state/random.js';
import { LogLevel } from '../../events.js';
import {
  createEntryLog,
  createEntryTimer,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
} from '../commands.js';
import { EntryEventKind, type EntryEventOf, ProbeOutcome } from '../events.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from '../state.js';

/** Time for which requests wait for answers, and no server of their service answers any, before servers are probed. */
const SILENT_MS = 700;
/** Interval of those probes. */
const SILENCE_PROBE_INTERVAL_MS = 300;
/** Bounds of the pause between two probes while the VM is cut off, drawn so that VMs which were cut off together do not return at one moment. */
const MIN_PROBE_INTERVAL_MS = 250;
const MAX_PROBE_INTERVAL_MS = 500;

function getReach({ reach }: EntryState, service: string): ServiceReach {
  const known = reach.get(service);
  if (known !== undefined) {
    return known;
  }
  const created = createServiceReach();
  reach.set(service, created);
  return created;
}

/** Returns the servers of a service that this VM could send requests to. */
function listServers({ backendLists, backends }: EntryState, service: string): Backend[] {
  return listOffering(backendLists, backends, service, null).filter(
    ({ isEvacuated, isLeaving }) => !isLeaving && !isEvacuated,
  );
}

/** Returns whether this VM reaches no server of a service. */
export function isCutOff({ reach }: EntryState, service: string): boolean {
  return (reach.get(service)?.cutOffSinceMs ?? null) !== null;
}

/** Returns whether this VM reaches no engine of a service that another VM has reached since. */
export function isCutOffFromEngines({ deployment, listedVms, reach, self }: EntryState): boolean {
  const services = [...(deployment?.servicesByName.values() ?? [])];
  const hasOthers = listedVms.some(({ vmId }) => vmId !== self.vmId);
  return (
    hasOthers &&
    services.some(({ engine, name }) => {
      const { cutOffSinceMs, othersReachAtMs } = reach.get(name) ?? createServiceReach();
      return engine !== null && cutOffSinceMs !== null && othersReachAtMs >= cutOffSinceMs;
    })
  );
}

/** Records that another VM reaches the servers of a service. */
export function recordOthersReach(state: EntryState, service: string, nowMs: number): void {
  getReach(state, service).othersReachAtMs = nowMs;
}

/** Returns whether other VMs do not reach the servers of a service either that this VM is cut off from. */
export function isPassingFutile(state: EntryState, service: string, nowMs: number): boolean {
  return isCutOff(state, service) && state.reach.get(service)!.passingFutileUntilMs > nowMs;
}

/** Records that the VMs which were asked do not reach the servers of a service either. */
export function recordPassingFutile(state: EntryState, service: string, untilMs: number): void {
  getReach(state, service).passingFutileUntilMs = untilMs;
}

/** Returns whether a server of a service has answered this VM since a time. */
export function isReachedSince({ reach }: EntryState, service: string, sinceMs: number): boolean {
  return (reach.get(service)?.reachedAtMs ?? Number.NEGATIVE_INFINITY) >= sinceMs;
}

/** Records that a server has answered this VM. */
export function recordServerReached(state: EntryState, { entry }: Backend, nowMs: number): void {
  recordReached(getReach(state, entry.service), nowMs);
}

function scheduleProbe(state: EntryState, service: string): EntryCommand {
  const spreadMs = nextRandom(state.random) * (MAX_PROBE_INTERVAL_MS - MIN_PROBE_INTERVAL_MS);
  const kind = EntryEventKind.ReachTick;
  return createEntryTimer(`${kind}/${service}`, MIN_PROBE_INTERVAL_MS + spreadMs, {
    kind,
    service,
  });
}

/** Records that this VM could not connect to a server. */
export function recordServerUnreached(
  state: EntryState,
  { entry }: Backend,
  nowMs: number,
): EntryCommand[] {
  const { id, service } = entry;
  const reach = getReach(state, service);
  const serverCount = listServers(state, service).length;
  if (!recordUnreached(reach, id, serverCount, nowMs)) {
    return [];
  }
  return [
    createEntryLog(
      LogLevel.Warn,
      EntryLogPrefix.Backend,
      'This VM reaches no server of a service.',
      {
        service,
        unreached: [...reach.unreachedIds].join(' '),
        servers: serverCount,
        sinceReachedMs: Number.isFinite(reach.reachedAtMs)
          ? Math.round(nowMs - reach.reachedAtMs)
          : -1,
      },
    ),
    scheduleProbe(state, service),
  ];
}

/** Probes the next of some servers of a service. */
function probeNext(reach: ServiceReach, servers: readonly Backend[]): EntryCommand {
  const { address, bornAtWallMs, id } = servers[reach.probeCount % servers.length]!.entry;
  reach.probeCount += 1;
  const processKey = getProcessKey(id, bornAtWallMs);
  return { kind: EntryCommandKind.ProbeBackend, address, processKey };
}

/** Returns whether a request has waited for the answer of a server for so long that the server may not be reached any more. */
function isAnswerLate(
  { attemptAnsweredAtMs, backendId, dispatchedAtMs, phase }: ForwardRecord,
  nowMs: number,
): boolean {
  const isWaiting = phase === ForwardPhase.Dispatched && backendId !== null;
  return isWaiting && attemptAnsweredAtMs === null && nowMs - dispatchedAtMs >= SILENT_MS;
}

/**
 * Probes servers of the services of which none answers: while kept connections hang, no attempt fails to connect, and nothing else
 * shows that this VM is cut off.
 */
export function probeSilentServices(state: EntryState, nowMs: number): EntryCommand[] {
  const late = [...state.requests.values()].filter((record) => isAnswerLate(record, nowMs));
  const services = new Set(late.map(({ service }) => service.name));
  return [...services].flatMap((service) => {
    const reach = getReach(state, service);
    const isDue =
      reach.cutOffSinceMs === null &&
      nowMs - reach.reachedAtMs >= SILENT_MS &&
      nowMs - reach.silenceProbedAtMs >= SILENCE_PROBE_INTERVAL_MS;
    const servers = listServers(state, service).filter(
      ({ entry }) => !reach.unreachedIds.has(entry.id),
    );
    if (!isDue || servers.length === 0) {
      return [];
    }
    reach.silenceProbedAtMs = nowMs;
    return [probeNext(reach, servers)];
  });
}

/** Probes the next server of a service that this VM is cut off from. */
export function handleReachTick(
  state: EntryState,
  { service }: EntryEventOf<typeof EntryEventKind.ReachTick>,
): EntryCommand[] {
  const reach = getReach(state, service);
  const servers = listServers(state, service);
  if (reach.cutOffSinceMs === null || servers.length === 0) {
    endCutOff(reach);
    return [];
  }
  return [probeNext(reach, servers), scheduleProbe(state, service)];
}

/** Records whether a probe, of whatever purpose, has reached its server. */
export function handleReachProbed(
  state: EntryState,
  { outcome, processKey }: EntryEventOf<typeof EntryEventKind.BackendProbed>,
  nowMs: number,
): EntryCommand[] {
  const probed = [...state.backends.values()].find(
    ({ entry }) => getProcessKey(entry.id, entry.bornAtWallMs) === processKey,
  );
  if (probed === undefined) {
    return [];
  }
  const { id, service } = probed.entry;
  const isReached = outcome === ProbeOutcome.Accepting;
  const reach = getReach(state, service);
  const sinceMs = reach.cutOffSinceMs;
  if (sinceMs === null) {
    if (!isReached) {
      return recordServerUnreached(state, probed, nowMs);
    }
    recordReached(reach, nowMs);
    return [];
  }
  if (!recordProbed(reach, id, isReached, listServers(state, service).length, nowMs)) {
    return [];
  }
  const kind = EntryEventKind.ReachTick;
  return [
    { kind: EntryCommandKind.CancelTimer, timerId: `${kind}/${service}` },
    createEntryLog(
      LogLevel.Info,
      EntryLogPrefix.Backend,
      'This VM reaches the servers of a service again.',
      { service, cutOffMs: Math.round(nowMs - sinceMs) },
    ),
  ];
}
