/**
 * Stops using backend servers that are leaving.
 *
 * A server announces in the store that it leaves, and says so in all its answers; VMs tell each other. Whatever a VM hears
 * first counts, and holds for this incarnation of the server until its entry is gone: an entry that was written before the
 * answer does not undo it. Requests that run there end in peace; those that still wait for a connection to it are recalled.
 */
import type { Backend } from '../../../state/entry/backends.js';
import type { LeavingReport } from '../../../state/entry/evidenceReports.js';
import { LogLevel } from '../../events.js';
import {
  createEntryLog,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
} from '../commands.js';
import { spreadEvidence } from '../exchange/evidenceSpread.js';
import { type EntryState, ForwardPhase } from '../state.js';

/** How a VM has learned that a server leaves. */
export const LeavingSource = { Answer: 'answer', Peer: 'peer' } as const;
export type LeavingSource = (typeof LeavingSource)[keyof typeof LeavingSource];

/** Recalls the requests that were dispatched to a server and have not been sent to it, also those that go on with a stream. */
export function recallUnsent(state: EntryState, { entry }: Backend): EntryCommand[] {
  return [...state.requests.values()]
    .filter(
      ({ attemptAnsweredAtMs, backendId, phase }) =>
        phase === ForwardPhase.Dispatched && backendId === entry.id && attemptAnsweredAtMs === null,
    )
    .map(({ attempt, request }) => ({
      kind: EntryCommandKind.RecallAttempt,
      requestId: request.requestId,
      attempt,
    }));
}

/** Marks a server as leaving, if that is not known yet. */
export function markLeaving(
  state: EntryState,
  backend: Backend,
  source: LeavingSource,
  requestName: string,
): EntryCommand[] {
  if (backend.isLeaving) {
    return [];
  }
  backend.isLeaving = true;
  const { id: server, service } = backend.entry;
  return [
    createEntryLog(LogLevel.Info, EntryLogPrefix.Backend, 'A backend server is leaving.', {
      server,
      service,
      source,
      request: requestName,
      inFlight: backend.inFlight,
    }),
    ...recallUnsent(state, backend),
    ...spreadEvidence(state),
  ];
}

/** Returns the servers that are leaving, for the other VMs. */
export function listLeaving({ backends }: EntryState): LeavingReport[] {
  return [...backends.values()]
    .filter(({ isLeaving }) => isLeaving)
    .map(({ entry: { bornAtWallMs, id: serverId } }) => ({ serverId, bornAtWallMs }));
}

/** Merges what other VMs know of servers that are leaving. */
export function mergeLeaving(state: EntryState, leaving: readonly LeavingReport[]): EntryCommand[] {
  return leaving.flatMap(({ bornAtWallMs, serverId }) => {
    const backend = state.backends.get(serverId);
    return backend?.entry.bornAtWallMs === bornAtWallMs
      ? markLeaving(state, backend, LeavingSource.Peer, '')
      : [];
  });
}
