/**
 * Decides at which software version a stream goes on that its caller takes up again.
 *
 * What two versions write into a stream does not fit together, and servers do not check it. A VM knows the versions of the
 * streams that it has begun; others it reads from the store, to which VMs write them while versions mix. A request whose
 * version stays unknown goes on only if no more than one version can have begun its stream, and is else rejected as not run.
 */
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../../state/diagnostics.js';
import {
  createStreamDigest,
  listRecentVersions,
  mergeStreamGroups,
  shiftStreamGroup,
  type StreamOrigin,
} from '../../../state/entry/streamOrigins.js';
import { createEntryTimer, type EntryCommand, EntryCommandKind } from '../commands.js';
import { EntryEventKind, type EntryEventOf } from '../events.js';
import { countVmsSharingLimits } from '../liveVms.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from '../state.js';
import { hasServerForStream } from './backendSelection.js';
import { startForward } from './dispatchOrder.js';
import { refuseForward } from './requestCompletion.js';
import { getStreamName, handleWriteTick, isTakeUp } from './streamOriginWrites.js';
import { StreamOriginsTask, TakeUpResult } from './streamState.js';

/** Interval of the reads of one VM, and its lower bound for each VM: it bounds the calls of all VMs together. */
const MIN_READ_INTERVAL_MS = 100;
const READ_INTERVAL_PER_VM_MS = 5;
/** Another VM may still be writing what the first read does not find. */
const MAX_RECALLS = 2;
const RECALL_INTERVAL_MS = 300;
/** Time from a read of the past that failed to the next one. */
const PAST_RETRY_MS = 1_000;
/** Servers come back, and other VMs may know more, within less than a second. */
const RETRY_AFTER_MS = 500;

function countTakeUp({ streams }: EntryState, result: TakeUpResult): void {
  streams.takeUps.set(result, (streams.takeUps.get(result) ?? 0) + 1);
}

function refuseTakeUp(
  state: EntryState,
  record: ForwardRecord,
  result: TakeUpResult,
  diagnostic: Diagnostic,
  nowMs: number,
): EntryCommand[] {
  countTakeUp(state, result);
  return refuseForward(state, record, diagnostic, nowMs, RETRY_AFTER_MS);
}

function refuseUnknown(state: EntryState, record: ForwardRecord, nowMs: number): EntryCommand[] {
  const name = record.request.resumedRequestId ?? '';
  const diagnostic = createDiagnostic(Diagnostics.UnknownStreamVersion, name);
  return refuseTakeUp(state, record, TakeUpResult.UnknownVersion, diagnostic, nowMs);
}

/** Starts a request that takes up a stream which a version of a service has begun. */
function resumeAt(
  state: EntryState,
  record: ForwardRecord,
  { service: name, softwareVersion }: Pick<StreamOrigin, 'service' | 'softwareVersion'>,
  nowMs: number,
): EntryCommand[] {
  const isTarget = record.route.targets.some((target) => target.service === name);
  const service = isTarget ? state.deployment?.servicesByName.get(name) : undefined;
  record.service = service ?? record.service;
  record.streamVersion = softwareVersion;
  if (service === undefined || !hasServerForStream(state, record)) {
    const diagnostic = createDiagnostic(Diagnostics.StreamVersionGone, softwareVersion);
    return refuseTakeUp(state, record, TakeUpResult.NoServer, diagnostic, nowMs);
  }
  countTakeUp(state, TakeUpResult.Resumed);
  return startForward(state, record, nowMs);
}

function findOrigin({ streams }: EntryState, record: ForwardRecord): StreamOrigin | undefined {
  const name = getStreamName(record);
  return name === null ? undefined : streams.origins.byStream.get(createStreamDigest(name));
}

/** Returns whether the versions are known that may have begun streams before this VM started. */
function isPastKnown({ startedAtMs, streams }: EntryState, nowMs: number): boolean {
  return streams.isPastKnown || nowMs - startedAtMs > streams.origins.lifeMs;
}

/** Starts a request that takes up a stream, if what this VM knows is enough to tell its version; else returns null. */
function tryResume(state: EntryState, record: ForwardRecord, nowMs: number): EntryCommand[] | null {
  const origin = findOrigin(state, record);
  if (origin !== undefined) {
    return resumeAt(state, record, origin, nowMs);
  }
  const { name: service } = record.service;
  const versions = listRecentVersions(state.streams.origins, service, nowMs);
  const [softwareVersion] = versions;
  if (!isPastKnown(state, nowMs) || versions.length > 1) {
    return null;
  }
  return softwareVersion === undefined
    ? startForward(state, record, nowMs)
    : resumeAt(state, record, { service, softwareVersion }, nowMs);
}

/** Reads the origins from the store, as soon as the interval of reads allows. */
function readOrigins(state: EntryState, delayMs: number, nowMs: number): EntryCommand[] {
  const { streams } = state;
  if (streams.isReading || streams.isReadScheduled) {
    return [];
  }
  const vms = countVmsSharingLimits(state);
  const intervalMs = Math.max(MIN_READ_INTERVAL_MS, vms * READ_INTERVAL_PER_VM_MS);
  const waitMs = Math.max(delayMs, streams.readAtMs + intervalMs - nowMs);
  if (waitMs > 0) {
    streams.isReadScheduled = true;
    const kind = EntryEventKind.StreamOriginsTick;
    const task = StreamOriginsTask.Read;
    return [createEntryTimer(`${kind}/${task}`, waitMs, { kind, task })];
  }
  streams.isReading = true;
  streams.readAtMs = nowMs;
  return [{ kind: EntryCommandKind.ReadStreamOrigins }];
}

function listRecalling({ requests }: EntryState): ForwardRecord[] {
  return [...requests.values()].filter(({ phase }) => phase === ForwardPhase.Recalling);
}

/** Starts an admitted request. One that takes up a stream goes on only at the version that began it. */
export function startAtVersion(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] {
  if (!isTakeUp(record)) {
    return startForward(state, record, nowMs);
  }
  const commands = tryResume(state, record, nowMs);
  if (commands !== null) {
    return commands;
  }
  if (getStreamName(record) === null && isPastKnown(state, nowMs)) {
    return refuseUnknown(state, record, nowMs);
  }
  record.phase = ForwardPhase.Recalling;
  record.recallsLeft = MAX_RECALLS;
  return readOrigins(state, 0, nowMs);
}

const TASK_HANDLERS: Readonly<
  Record<StreamOriginsTask, (state: EntryState, nowMs: number) => EntryCommand[]>
> = {
  [StreamOriginsTask.Write]: handleWriteTick,
  [StreamOriginsTask.Read]: (state, nowMs) => {
    state.streams.isReadScheduled = false;
    return listRecalling(state).length === 0 ? [] : readOrigins(state, 0, nowMs);
  },
};

/** Runs what is due for the origins of streams. */
export function handleStreamOriginsTick(
  state: EntryState,
  { task }: EntryEventOf<typeof EntryEventKind.StreamOriginsTick>,
  nowMs: number,
): EntryCommand[] {
  return TASK_HANDLERS[task](state, nowMs);
}

/** Goes on with the requests that wait for what was read, and rejects those whose versions stay unknown. */
export function handleStreamOriginsRead(
  state: EntryState,
  { groups }: EntryEventOf<typeof EntryEventKind.StreamOriginsRead>,
  nowMs: number,
): EntryCommand[] {
  const { streams } = state;
  streams.isReading = false;
  if (groups !== null) {
    streams.isPastKnown = true;
    const shifted = groups.map((group) => shiftStreamGroup(group, nowMs));
    mergeStreamGroups(streams.origins, shifted, nowMs);
  }
  const commands = listRecalling(state).flatMap((record) => {
    record.recallsLeft -= 1;
    const isOver = groups === null || record.recallsLeft === 0;
    return tryResume(state, record, nowMs) ?? (isOver ? refuseUnknown(state, record, nowMs) : []);
  });
  const isReadDue = listRecalling(state).length > 0;
  return [...commands, ...(isReadDue ? readOrigins(state, RECALL_INTERVAL_MS, nowMs) : [])];
}

/** Reads which versions may have begun streams before this VM started, until the store has answered. */
export function recallPast(state: EntryState, nowMs: number): EntryCommand[] {
  const { areBackendsRead, streams } = state;
  const isDue = areBackendsRead && streams.origins.lifeMs > 0 && !isPastKnown(state, nowMs);
  return isDue && nowMs - streams.readAtMs >= PAST_RETRY_MS ? readOrigins(state, 0, nowMs) : [];
}
