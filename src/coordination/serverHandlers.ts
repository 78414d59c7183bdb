/**
 * Load reports of the backend servers.
 */
import { BackendKind, type BackendServer } from '../state/types.js';
import { type Command, CommandKind, EventKind, type EventOf } from './events.js';
import { markServerLeaving } from './gossip.js';
import type { NodeState } from './nodeState.js';
import { getServerRecord } from './routing.js';

function isPolled(server: BackendServer): boolean {
  return server.kind === BackendKind.Engine;
}

/** Asks every engine for its load, and does so again after an interval. */
export function handleLoadPollTick(state: NodeState): Command[] {
  const servers = state.configuration?.document.vms.backendServers ?? [];
  return [
    ...servers.filter(isPolled).map<Command>((server) => ({
      kind: CommandKind.PollLoad,
      server: server.name,
      address: server.address,
    })),
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
  record.report = event.report;
  record.reportedAtMs = nowMs;
  record.inFlightAtReport = record.inFlight;
  if (event.report.leaving) {
    markServerLeaving(state, event.server, nowMs);
  }
  return [];
}

/** Avoids a server that does not report; its last report stays, since serving may go on. */
export function handleLoadPollFailed(
  state: NodeState,
  event: EventOf<typeof EventKind.LoadPollFailed>,
  nowMs: number,
): Command[] {
  const record = getServerRecord(state, event.server);
  record.penaltyUntilMs = nowMs + state.policy.serverPenaltyMs;
  return [];
}
