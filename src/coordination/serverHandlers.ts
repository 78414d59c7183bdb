/**
 * Load reports of the backend servers.
 */
import { BackendKind, type BackendServer, type LoadReport } from '../state/types.js';
import { type Command, CommandKind, createTickTimer, EventKind, type EventOf } from './events.js';
import { markServerLeaving } from './gossip.js';
import { Lifecycle, type NodeState } from './nodeState.js';
import { getServerRecord } from './routing.js';

/** Part of a round's polls that go to engines of other failure domains. */
const REMOTE_PART = 0.125;

function findEngines(state: NodeState): BackendServer[] {
  const servers = state.configuration?.document.vms.backendServers ?? [];
  return servers.filter((server) => server.kind === BackendKind.Engine);
}

function createPoll({ address, name }: BackendServer): Command {
  return { kind: CommandKind.PollLoad, server: name, address };
}

function isAsked(state: NodeState, server: BackendServer): boolean {
  return state.servers.get(server.name)?.isAsked === true;
}

/** Engines that a VM must have asked before it is ready: those of its failure domain, if it has any. */
function findNeeded(state: NodeState): BackendServer[] {
  const engines = findEngines(state);
  const local = engines.filter((server) => server.failureDomain === state.self.failureDomain);
  return local.length > 0 ? local : engines;
}

/** Asks the engines that have never been asked, without waiting for the next round. */
export function pollUnreported(state: NodeState): Command[] {
  return findNeeded(state)
    .filter((server) => !isAsked(state, server))
    .map(createPoll);
}

/** A VM is ready once it has a configuration and has asked every engine for its load. */
export function updateReadiness(state: NodeState): Command[] {
  const isRunning = state.lifecycle === Lifecycle.Running && state.configuration !== null;
  if (state.isReady || !isRunning) {
    return [];
  }
  if (!findNeeded(state).every((server) => isAsked(state, server))) {
    return [];
  }
  state.isReady = true;
  return [{ kind: CommandKind.SetReady, isReady: true }];
}

/**
 * Engines to ask in this round: in turn, and as many as a round may ask. Those of the own failure domain
 * have most of the places, so that the cost of a VM does not grow with the fleet.
 */
function choosePolled(state: NodeState): BackendServer[] {
  const engines = findEngines(state);
  const { maxPollsInRound } = state.policy;
  if (engines.length <= maxPollsInRound) {
    return engines;
  }
  const isLocal = (server: BackendServer): boolean =>
    server.failureDomain === state.self.failureDomain;
  const local = engines.filter(isLocal);
  const remote = engines.filter((server) => !isLocal(server));
  const remotePlaces = Math.min(remote.length, Math.ceil(maxPollsInRound * REMOTE_PART));
  const localPlaces = Math.min(local.length, maxPollsInRound - remotePlaces);
  const take = (list: BackendServer[], places: number): BackendServer[] =>
    Array.from({ length: places }, (_, i) => list[(state.pollCursor * places + i) % list.length]!);
  const chosen = [...take(local, localPlaces), ...take(remote, remotePlaces)];
  state.pollCursor += 1;
  return chosen;
}

/** Asks engines for their load, and does so again after an interval. */
export function handleLoadPollTick(state: NodeState): Command[] {
  return [
    ...choosePolled(state).map(createPoll),
    createTickTimer(EventKind.LoadPollTick, state.policy.loadPollIntervalMs),
  ];
}

function indexReport(
  state: NodeState,
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

/** Takes a report; word of a leaving server is spread. */
export function handleLoadReported(
  state: NodeState,
  event: EventOf<typeof EventKind.LoadReported>,
  nowMs: number,
): Command[] {
  const record = getServerRecord(state, event.server);
  record.isAsked = true;
  indexReport(state, event.server, record.report, event.report);
  record.report = event.report;
  record.reportedAtMs = nowMs;
  record.inFlightAtReport = record.inFlight;
  if (event.report.leaving) {
    markServerLeaving(state, event.server, nowMs);
  }
  return updateReadiness(state);
}

/** Avoids a server that does not report; its last report stays, since serving may go on. */
export function handleLoadPollFailed(
  state: NodeState,
  event: EventOf<typeof EventKind.LoadPollFailed>,
  nowMs: number,
): Command[] {
  const record = getServerRecord(state, event.server);
  record.isAsked = true;
  record.penaltyUntilMs = nowMs + state.policy.serverPenaltyMs;
  return updateReadiness(state);
}
