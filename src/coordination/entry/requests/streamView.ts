/**
 * Tells whether what this VM knows of the servers includes all that may have happened before a request arrived.
 *
 * A stream may have begun, at another VM, at a version that registered a moment before the request which takes it up, so the age of
 * this VM's view does not tell whether it knows that version. Three things do:
 *
 * - A call to the store by which a reader knows all that the store had at a time after the arrival, over all relays between.
 * - A read that started after the arrival: it names the revision that the store had, and a view that has reached it lacks nothing
 *   that was written before. This needs no clock, and neither a suspension nor an answer that is late changes it.
 * - While the store does not answer, nothing is written either, and the other VMs tell what they have read before.
 */
import type { EntryState, ForwardRecord } from '../state.js';
import type { StreamRecall, StreamVersionState } from './streamState.js';

/** What another VM has read may take so long to get into its reports: a relay's batch and its standby's interval. */
const REPORT_LAG_MS = 400;

/** Creates the recall of a request that arrives now. */
export function createRecall({ streams }: EntryState, nowMs: number): StreamRecall {
  return {
    startedAtMs: nowMs,
    readsBefore: streams.readCount,
    firstRead: null,
    lastReadAtMs: Number.NEGATIVE_INFINITY,
    hasReadFailed: false,
  };
}

/** Returns whether more than half of the other relays say, since a time, that they know no later servers than this VM. */
function isConfirmedByPeers(state: EntryState, sinceMs: number): boolean {
  const { backendsRevision, listedVms, peers, relays, self } = state;
  const others = relays.filter(({ vmId }) => vmId !== self.vmId);
  if (others.length === 0) {
    return listedVms.length > 0 && listedVms.every(({ vmId }) => vmId === self.vmId);
  }
  const reports = others
    .flatMap(({ vmId }) => peers.get(vmId) ?? [])
    .filter(({ reportReceivedAtMs }) => reportReceivedAtMs >= sinceMs);
  return (
    reports.length * 2 > others.length &&
    reports.every(({ report }) => report.backendsRevision <= backendsRevision)
  );
}

/** Returns whether this VM knows all servers that were registered before a request arrived. */
export function isViewConfirmed(state: EntryState, { recall }: ForwardRecord): boolean {
  if (recall === null) {
    return false;
  }
  const { firstRead, hasReadFailed, startedAtMs } = recall;
  const knownRevision = Math.max(state.store.revision, state.backendsRevision);
  if (state.store.knownAtMs > startedAtMs) {
    return true;
  }
  return firstRead === null
    ? hasReadFailed && isConfirmedByPeers(state, startedAtMs + REPORT_LAG_MS)
    : knownRevision >= firstRead.revision;
}

/** Records the result of a read in a recall, unless it had started before. */
export function recordRecallRead(
  recall: StreamRecall,
  { readAtMs: atMs, readCount }: StreamVersionState,
  revision: number | null,
): void {
  if (readCount <= recall.readsBefore) {
    return;
  }
  recall.hasReadFailed = revision === null;
  if (revision !== null) {
    recall.firstRead ??= { atMs, revision };
    recall.lastReadAtMs = atMs;
  }
}
