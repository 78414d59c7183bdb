/**
 * Load reports of the backend servers.
 */
import { BackendKind, type BackendServer } from '../state/types.js';
import { type Command, CommandKind, EventKind, type EventOf } from './events.js';
import { markServerLeaving } from './gossip.js';
import { Lifecycle, type NodeState } from './nodeState.js';
import { getServerRecord } from './routing.js';

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

/** Asks the engines that have never been asked, without waiting for the next round. */
export function pollUnreported(state: NodeState): Command[] {
  return findEngines(state)
    .filter((server) => !isAsked(state, server))
    .map(createPoll);
}

/** A VM is ready once it has a configuration and has asked every engine for its load. */
export function updateReadiness(state: NodeState): Command[] {
  const isRunning = state.lifecycle === Lifecycle.Running && state.configuration !== null;
  if (state.isReady || !isRunning) {
    return [];
  }
  if (!findEngines(state).every((server) => isAsked(state, server))) {
    return [];
  }
  state.isReady = true;
  return [{ kind: CommandKind.SetReady, isReady: true }];
}

/** Asks every engine for its load, and does so again after an interval. */
export function handleLoadPollTick(state: NodeState): Command[] {
  return [
    ...findEngines(state).map(createPoll),
    {
      kind: CommandKind.StartTimer,
      timerId: EventKind.LoadPollTick,
      delayMs: state.policy.loadPollIntervalMs,
      event: { kind: EventKind.LoadPollTick },
    },
  ];
}

/** Takes a report; word of a leaving server is spread. */
export function handleLoadReported(
  state: NodeState,
  event: EventOf<typeof EventKind.LoadReported>,
  nowMs: number,
): Command[] {
  const record = getServerRecord(state, event.server);
  record.isAsked = true;
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
