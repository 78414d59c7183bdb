/**
 * Records which software version has begun each stream, and writes it to the store while several versions of a service may have
 * begun streams, so that other VMs and later processes of this one find it.
 */
import { RouteKind } from '../../../state/entry/deployment.js';
import {
  addStreamOrigin,
  createStreamDigest,
  expireStreamOrigins,
  getStreamLifeMs,
  groupStreams,
  isMixed,
  recordVersionSeen,
  shiftStreamGroup,
} from '../../../state/entry/streamOrigins.js';
import { createEntryTimer, type EntryCommand, EntryCommandKind } from '../commands.js';
import { type BackendChange, EntryEventKind, type EntryEventOf } from '../events.js';
import { countVmsSharingLimits } from '../liveVms.js';
import { type EntryState, type ForwardRecord } from '../state.js';
import { createStreamBatch, StreamOriginsTask } from './streamState.js';

/** Interval of the writes of one VM, and its lower bound for each VM: it bounds the calls of all VMs together. */
const MIN_WRITE_INTERVAL_MS = 250;
const WRITE_INTERVAL_PER_VM_MS = 15;
/** Streams that begin together are written together. */
const MIN_WRITE_DELAY_MS = 20;
/** Time from a write that failed to the next one. */
const WRITE_RETRY_MS = 1_000;
/** A batch that has as many streams gets no more, since each write of a batch repeats those that it has. */
const MAX_BATCH_STREAMS = 100;

type StreamRequest = Pick<ForwardRecord, 'request' | 'route'>;

/** Returns whether a request may be taken up by another one. */
function isResumableStream({ route }: StreamRequest): boolean {
  return route.kind === RouteKind.Stream && route.isResumable;
}

/** Returns whether a request takes up a stream. */
export function isTakeUp(record: StreamRequest): boolean {
  return isResumableStream(record) && record.request.lastEventId !== null;
}

/** Returns the caller's id of the request that has begun the stream; null if a request takes one up without naming it. */
export function getStreamName(record: StreamRequest): string | null {
  const { callerRequestId, resumedRequestId } = record.request;
  return isTakeUp(record) ? resumedRequestId : callerRequestId;
}

/** Returns the streams to write: those of services of which several versions may have begun streams. */
function listDue({ streams }: EntryState, nowMs: number): string[] {
  const { origins, unwritten } = streams;
  const services = [...origins.versionsByService.keys()];
  const mixed = new Set(services.filter((service) => isMixed(origins, service, nowMs)));
  return mixed.size === 0
    ? []
    : [...unwritten].filter((digest) => mixed.has(origins.byStream.get(digest)?.service ?? ''));
}

/** Writes the streams that are due, unless a write is in progress. */
function writeStreams(state: EntryState, nowMs: number): EntryCommand[] {
  const { streams } = state;
  const due = streams.writing === null ? listDue(state, nowMs) : [];
  if (due.length === 0) {
    return [];
  }
  if (streams.batch.digests.length >= MAX_BATCH_STREAMS) {
    streams.batch = createStreamBatch(streams.batch.number + 1);
  }
  const { batch, origins } = streams;
  streams.writing = due;
  streams.writtenAtMs = nowMs;
  streams.isWriteUrgent = false;
  return [
    {
      kind: EntryCommandKind.WriteStreamOrigins,
      batch: batch.number,
      expectedVersion: batch.version,
      groups: groupStreams(origins, [...batch.digests, ...due]).map((group) =>
        shiftStreamGroup(group, -nowMs),
      ),
      lifeMs: origins.lifeMs,
    },
  ];
}

function getWriteIntervalMs(state: EntryState): number {
  const vms = countVmsSharingLimits(state);
  return Math.max(MIN_WRITE_INTERVAL_MS, vms * WRITE_INTERVAL_PER_VM_MS);
}

/** Starts the timer of the next write, if there is anything to write. */
function scheduleWrite(
  state: EntryState,
  nowMs: number,
  intervalMs = getWriteIntervalMs(state),
): EntryCommand[] {
  const { streams } = state;
  if (streams.isWriteScheduled || streams.writing !== null || listDue(state, nowMs).length === 0) {
    return [];
  }
  streams.isWriteScheduled = true;
  const delayMs = Math.max(MIN_WRITE_DELAY_MS, streams.writtenAtMs + intervalMs - nowMs);
  const kind = EntryEventKind.StreamOriginsTick;
  const task = StreamOriginsTask.Write;
  return [createEntryTimer(`${kind}/${task}`, delayMs, { kind, task })];
}

/** Writes the streams that are due, by a timer. */
export function handleWriteTick(state: EntryState, nowMs: number): EntryCommand[] {
  state.streams.isWriteScheduled = false;
  return writeStreams(state, nowMs);
}

/** Records the result of a write. A batch whose version is not known is not written again. */
export function handleStreamOriginsWritten(
  state: EntryState,
  { version }: EntryEventOf<typeof EntryEventKind.StreamOriginsWritten>,
  nowMs: number,
): EntryCommand[] {
  const { streams } = state;
  const written = streams.writing ?? [];
  streams.writing = null;
  if (version === null) {
    streams.batch.digests.forEach((digest) => streams.unwritten.add(digest));
    streams.batch = createStreamBatch(streams.batch.number + 1);
    return scheduleWrite(state, nowMs, WRITE_RETRY_MS);
  }
  streams.batch.version = version;
  streams.batch.digests.push(...written);
  written.forEach((digest) => streams.unwritten.delete(digest));
  return streams.isWriteUrgent ? writeStreams(state, nowMs) : scheduleWrite(state, nowMs);
}

/** Records which software version has begun the stream of a request, once its caller has an event of it. */
export function recordStreamVersion(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] {
  if (record.route.kind !== RouteKind.Stream) {
    return [];
  }
  record.streamVersion ??= record.softwareVersion;
  // The VM that has the caller records where a passed request's stream began.
  const name = isResumableStream(record) && record.passedBy === null ? getStreamName(record) : null;
  if (name === null) {
    return [];
  }
  const digest = createStreamDigest(name);
  const { streamVersion: softwareVersion } = record;
  const origin = { service: record.service.name, softwareVersion, atMs: nowMs, isOwn: true };
  if (addStreamOrigin(state.streams.origins, digest, origin)) {
    state.streams.unwritten.add(digest);
  }
  return scheduleWrite(state, nowMs);
}

/** Writes the origin of a stream that ends before it is complete at once, since its caller may take it up at another VM. */
export function writeBrokenStream(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] {
  const { streams } = state;
  const name = isResumableStream(record) ? getStreamName(record) : null;
  if (name === null || !streams.unwritten.has(createStreamDigest(name))) {
    return [];
  }
  streams.isWriteUrgent = true;
  return writeStreams(state, nowMs);
}

/** Records the versions of servers that were registered or updated, or have just left. */
export function recordChangedVersions(
  { backends, streams }: EntryState,
  changes: readonly BackendChange[],
  nowMs: number,
): void {
  changes.forEach(({ entry: changed, id }) =>
    [backends.get(id)?.entry, changed]
      .flatMap((entry) => entry ?? [])
      .forEach(({ service, softwareVersion }) =>
        recordVersionSeen(streams.origins, service, softwareVersion, nowMs),
      ),
  );
}

/** Applies the timeouts of a configuration. Streams that began under an earlier one keep theirs. */
export function updateStreamLife({ deployment, streams }: EntryState): void {
  const lifeMs = deployment === null ? 0 : getStreamLifeMs(deployment);
  streams.origins.lifeMs = Math.max(streams.origins.lifeMs, lifeMs);
}

/** Drops what has expired, records the versions in service, and schedules the write of what is due. */
export function maintainStreamOrigins(state: EntryState, nowMs: number): EntryCommand[] {
  const { backends, streams } = state;
  const { origins, unwritten } = streams;
  expireStreamOrigins(origins, nowMs);
  backends.forEach(({ entry }) =>
    recordVersionSeen(origins, entry.service, entry.softwareVersion, nowMs),
  );
  unwritten.forEach((digest) => {
    if (!origins.byStream.has(digest)) {
      unwritten.delete(digest);
    }
  });
  return scheduleWrite(state, nowMs);
}

/** Lets all streams that this VM has begun be written again, after the store has lost some of them. */
export function rewriteStreamOrigins({ streams }: EntryState): void {
  streams.origins.byStream.forEach(({ isOwn }, digest) => {
    if (isOwn) {
      streams.unwritten.add(digest);
    }
  });
  streams.batch = createStreamBatch(streams.batch.number + 1);
}
