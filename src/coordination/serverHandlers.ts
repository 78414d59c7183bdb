/**
 * Polls the engines for load reports, records the reports, and derives the readiness of the VM from them.
 */
import { BackendKind, type BackendServer, type LoadReport } from '../state/types.js';
import { type Command, CommandKind, createTickTimer, EventKind, type EventOf } from './events.js';
import { markServerLeaving } from './gossip.js';
import { Lifecycle, type VmState } from './vmState.js';
import { getServerRecord } from './routing.js';

/** Fraction of the polls of a round that go to engines of other failure domains. */
const REMOTE_POLL_FRACTION = 0.125;

function findEngines(state: VmState): BackendServer[] {
  const servers = state.configuration?.document.vms.backendServers ?? [];
  return servers.filter((server) => server.kind === BackendKind.Engine);
}

function createPollCommand({ address, name }: BackendServer): Command {
  return { kind: CommandKind.PollLoad, server: name, address };
}

function hasBeenPolled(state: VmState, server: BackendServer): boolean {
  return state.servers.get(server.name)?.isPolled === true;
}

/**
 * Returns the engines that must have been polled before the VM is ready: those of its failure domain or, if
 * there are none, all engines.
 */
function findRequiredEngines(state: VmState): BackendServer[] {
  const engines = findEngines(state);
  const local = engines.filter((server) => server.failureDomain === state.self.failureDomain);
  return local.length > 0 ? local : engines;
}

/** Polls the required engines that have not been polled yet, without waiting for the next round. */
export function pollUnpolledEngines(state: VmState): Command[] {
  return findRequiredEngines(state)
    .filter((server) => !hasBeenPolled(state, server))
    .map(createPollCommand);
}

/**
 * Marks the VM as ready once it has a configuration and every required engine has been polled. A failed poll
 * counts.
 */
export function updateReadiness(state: VmState): Command[] {
  const isRunning = state.lifecycle === Lifecycle.Running && state.configuration !== null;
  if (state.isReady || !isRunning) {
    return [];
  }
  if (!findRequiredEngines(state).every((server) => hasBeenPolled(state, server))) {
    return [];
  }
  state.isReady = true;
  return [{ kind: CommandKind.SetReady, isReady: true }];
}

/**
 * Selects the engines to poll in this round, in rotation and up to the limit of a round. Most polls go to
 * engines of the VM's own failure domain, so that the cost for a VM does not grow with the fleet.
 */
function selectEnginesToPoll(state: VmState): BackendServer[] {
  const engines = findEngines(state);
  const { maxPollsPerRound } = state.policy;
  if (engines.length <= maxPollsPerRound) {
    return engines;
  }
  const isLocal = (server: BackendServer): boolean =>
    server.failureDomain === state.self.failureDomain;
  const local = engines.filter(isLocal);
  const remote = engines.filter((server) => !isLocal(server));
  const remoteCount = Math.min(remote.length, Math.ceil(maxPollsPerRound * REMOTE_POLL_FRACTION));
  const localCount = Math.min(local.length, maxPollsPerRound - remoteCount);
  const takeInRotation = (list: BackendServer[], count: number): BackendServer[] =>
    Array.from({ length: count }, (_, i) => list[(state.pollCursor * count + i) % list.length]!);
  const selected = [...takeInRotation(local, localCount), ...takeInRotation(remote, remoteCount)];
  state.pollCursor += 1;
  return selected;
}

/** Polls engines for their load and schedules the next round. */
export function handleLoadPollTick(state: VmState): Command[] {
  return [
    ...selectEnginesToPoll(state).map(createPollCommand),
    createTickTimer(EventKind.LoadPollTick, state.policy.loadPollIntervalMs),
  ];
}

function updateServersByTag(
  state: VmState,
  server: string,
  before: LoadReport | null,
  after: LoadReport,
): void {
  before?.loadedModels
    .filter((tag) => !after.loadedModels.includes(tag))
    .forEach((tag) => state.serversByTag.get(tag)?.delete(server));
  after.loadedModels.forEach((tag) => {
    const servers = state.serversByTag.get(tag) ?? new Set<string>();
    servers.add(server);
    state.serversByTag.set(tag, servers);
  });
}

/** Records a load report. If the server reports that it is leaving, gossip spreads that to the other VMs. */
export function handleLoadReported(
  state: VmState,
  event: EventOf<typeof EventKind.LoadReported>,
  nowMs: number,
): Command[] {
  const record = getServerRecord(state, event.server);
  record.isPolled = true;
  updateServersByTag(state, event.server, record.report, event.report);
  record.report = event.report;
  record.reportedAtMs = nowMs;
  record.inFlightAtReport = record.inFlight;
  if (event.report.leaving) {
    markServerLeaving(state, event.server, nowMs);
  }
  return updateReadiness(state);
}

/**
 * Penalizes a server that did not report, so that other servers are preferred. Its last report is kept,
 * because the server may still be serving requests.
 */
export function handleLoadPollFailed(
  state: VmState,
  event: EventOf<typeof EventKind.LoadPollFailed>,
  nowMs: number,
): Command[] {
  const record = getServerRecord(state, event.server);
  record.isPolled = true;
  record.penaltyUntilMs = nowMs + state.policy.serverPenaltyMs;
  return updateReadiness(state);
}
