/**
 * Decides at which software version a stream goes on that its caller takes up again.
 *
 * What two versions write into a stream does not fit together, and servers do not check it. A VM knows the versions of the
 * streams that it has begun; others it reads from the store, to which VMs write them while versions mix. A request whose
 * version stays unknown goes on only if no more than one version can have begun its stream, as far as the view of the servers says
 * that was confirmed since the request arrived (`streamView.ts`), and is else rejected as not run.
 */
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../../state/diagnostics.js';
import {
  createStreamDigest,
  isMixed,
  listRecentVersions,
  mergeStreamGroups,
  shiftStreamGroup,
  type StreamOrigin,
} from '../../../state/entry/streamOrigins.js';
import { createEntryTimer, type EntryCommand, EntryCommandKind } from '../commands.js';
import { EntryEventKind, type EntryEventOf } from '../events.js';
import { countVmsSharingLimits } from '../liveVms.js';
import { type EntryState, ForwardPhase, type ForwardRecord, RelayRole } from '../state.js';
import { hasServerForStream } from './backendSelection.js';
import { startForward } from './dispatchOrder.js';
import { refuseForward } from './requestCompletion.js';
import { getStreamName, handleWriteTick, isTakeUp } from './streamOriginWrites.js';
import { StreamOriginsTask, TakeUpResult } from './streamState.js';
import { createRecall, isViewConfirmed, recordRecallRead } from './streamView.js';

/** Interval of the reads of one VM, and its lower bound for each VM: it bounds the calls of all VMs together. */
const MIN_READ_INTERVAL_MS = 100;
const READ_INTERVAL_PER_VM_MS = 5;
/** Time from the first read to the last one: another VM may still be writing what the first one does not find. */
const RECALL_INTERVAL_MS = 300;
/** Longest wait for the confirmation of this VM's view of the servers. */
const MAX_RECALL_MS = 1_500;
/** Time in which a VM in touch knows what the store had, from its watch or its relay; after that it reads the origins. */
const VIEW_WAIT_MS = 600;
/** Interval at which it is looked at what requests wait for, and the relay is asked for the contents of the store. */
const TICK_INTERVAL_MS = 150;
/** A server may register and leave unseen by a VM that does not hear the store for longer. */
const MAX_GAP_MS = 3_000;
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

/** Returns whether the versions are known that may have begun streams before this VM started, or while it did not hear the store. */
function isPastKnown({ startedAtMs, streams }: EntryState, nowMs: number): boolean {
  const { gapEndedAtMs, isPastKnown: isRead, origins } = streams;
  return isRead || nowMs - Math.max(startedAtMs, gapEndedAtMs) > origins.lifeMs;
}

/** Returns whether several versions may have begun streams of a request's service, as far as this VM knows. */
function mayBeMixed(state: EntryState, { service }: ForwardRecord, nowMs: number): boolean {
  return !isPastKnown(state, nowMs) || isMixed(state.streams.origins, service.name, nowMs);
}

/** Rejects a request because the version that began its stream is not known. */
function refuseUnknown(state: EntryState, record: ForwardRecord, nowMs: number): EntryCommand[] {
  const name = record.request.resumedRequestId ?? '';
  const [result, diagnostic] = mayBeMixed(state, record, nowMs)
    ? [TakeUpResult.UnknownVersion, createDiagnostic(Diagnostics.UnknownStreamVersion, name)]
    : [TakeUpResult.Unconfirmed, createDiagnostic(Diagnostics.ServersUnconfirmed, name)];
  return refuseTakeUp(state, record, result, diagnostic, nowMs);
}

/** Starts a request that takes up a stream, if what this VM knows is enough to tell its version; else returns null. */
function tryResume(state: EntryState, record: ForwardRecord, nowMs: number): EntryCommand[] | null {
  const origin = findOrigin(state, record);
  if (origin !== undefined) {
    return resumeAt(state, record, origin, nowMs);
  }
  if (mayBeMixed(state, record, nowMs) || !isViewConfirmed(state, record)) {
    return null;
  }
  const { name: service } = record.service;
  const [softwareVersion] = listRecentVersions(state.streams.origins, service, nowMs);
  return softwareVersion === undefined
    ? startForward(state, record, nowMs)
    : resumeAt(state, record, { service, softwareVersion }, nowMs);
}

/** Schedules the next look at what requests wait for, unless an earlier one is scheduled. */
function scheduleReadTick(state: EntryState, delayMs: number, nowMs: number): EntryCommand[] {
  const { streams } = state;
  const atMs = nowMs + delayMs;
  if (streams.readTickAtMs <= atMs) {
    return [];
  }
  streams.readTickAtMs = atMs;
  const kind = EntryEventKind.StreamOriginsTick;
  const task = StreamOriginsTask.Read;
  return [createEntryTimer(`${kind}/${task}`, delayMs, { kind, task })];
}

/** Reads the origins from the store, as soon as the interval of reads allows. */
function readOrigins(state: EntryState, nowMs: number): EntryCommand[] {
  const { streams } = state;
  if (streams.isReading) {
    return [];
  }
  const vms = countVmsSharingLimits(state);
  const intervalMs = Math.max(MIN_READ_INTERVAL_MS, vms * READ_INTERVAL_PER_VM_MS);
  const waitMs = streams.readAtMs + intervalMs - nowMs;
  if (waitMs > 0) {
    return scheduleReadTick(state, waitMs, nowMs);
  }
  streams.isReading = true;
  streams.readAtMs = nowMs;
  streams.readCount += 1;
  return [{ kind: EntryCommandKind.ReadStreamOrigins }];
}

function listRecalling({ requests }: EntryState): ForwardRecord[] {
  return [...requests.values()].filter(({ phase }) => phase === ForwardPhase.Recalling);
}

/** Returns whether no read has started since a request arrived. */
function isUnread({ streams }: EntryState, { recall }: ForwardRecord): boolean {
  return recall !== null && recall.readsBefore >= streams.readCount;
}

/** Returns whether the origins are to be read for a request now. */
function isReadDue(state: EntryState, record: ForwardRecord, nowMs: number): boolean {
  const { firstRead, startedAtMs } = record.recall!;
  const viewWaitMs = state.store.isReachable ? VIEW_WAIT_MS : 0;
  const isNeeded =
    mayBeMixed(state, record, nowMs) || (firstRead === null && nowMs - startedAtMs >= viewWaitMs);
  const isRepeatDue = nowMs - state.streams.readAtMs >= RECALL_INTERVAL_MS;
  return isNeeded && (isUnread(state, record) || isRepeatDue);
}

/** Goes on with the requests whose versions are known by now. */
export function resumeConfirmed(state: EntryState, nowMs: number): EntryCommand[] {
  return listRecalling(state).flatMap((record) => tryResume(state, record, nowMs) ?? []);
}

/** Returns whether a request is to be rejected that still waits for the version of its stream. */
function isRecallOver(state: EntryState, record: ForwardRecord, nowMs: number): boolean {
  const { firstRead, hasReadFailed, lastReadAtMs, startedAtMs } = record.recall!;
  const isReadTwice = firstRead !== null && lastReadAtMs - firstRead.atMs >= RECALL_INTERVAL_MS;
  return mayBeMixed(state, record, nowMs)
    ? hasReadFailed || isReadTwice
    : nowMs - startedAtMs >= MAX_RECALL_MS;
}

/** Lets a VM that does not read the store itself ask its relay for what the store has now. */
function askRelay(state: EntryState, nowMs: number): EntryCommand[] {
  const { relayRole, streams } = state;
  if (relayRole !== RelayRole.Relayed || nowMs - streams.relayAskedAtMs < TICK_INTERVAL_MS) {
    return [];
  }
  streams.relayAskedAtMs = nowMs;
  const kind = EntryEventKind.PeerTick;
  return [createEntryTimer(kind, 0, { kind })];
}

/** Rejects the requests whose versions stay unknown, and schedules what the others wait for. */
function continueRecalls(state: EntryState, nowMs: number): EntryCommand[] {
  const commands = listRecalling(state)
    .filter((record) => isRecallOver(state, record, nowMs))
    .flatMap((record) => refuseUnknown(state, record, nowMs));
  const waiting = listRecalling(state);
  if (waiting.length === 0) {
    return commands;
  }
  const isReadNow = waiting.some((record) => isReadDue(state, record, nowMs));
  return [
    ...commands,
    ...askRelay(state, nowMs),
    ...(isReadNow ? readOrigins(state, nowMs) : []),
    ...scheduleReadTick(state, TICK_INTERVAL_MS, nowMs),
  ];
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
  const isNameless = getStreamName(record) === null;
  if (isNameless && isPastKnown(state, nowMs) && mayBeMixed(state, record, nowMs)) {
    return refuseUnknown(state, record, nowMs);
  }
  record.phase = ForwardPhase.Recalling;
  record.recall = createRecall(state, nowMs);
  return continueRecalls(state, nowMs);
}

const TASK_HANDLERS: Readonly<
  Record<StreamOriginsTask, (state: EntryState, nowMs: number) => EntryCommand[]>
> = {
  [StreamOriginsTask.Write]: handleWriteTick,
  [StreamOriginsTask.Read]: (state, nowMs) => {
    state.streams.readTickAtMs = Number.POSITIVE_INFINITY;
    return continueRecalls(state, nowMs);
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
  { groups, revision }: EntryEventOf<typeof EntryEventKind.StreamOriginsRead>,
  nowMs: number,
): EntryCommand[] {
  const { streams } = state;
  streams.isReading = false;
  if (groups !== null) {
    streams.isPastKnown = true;
    const shifted = groups.map((group) => shiftStreamGroup(group, nowMs));
    mergeStreamGroups(streams.origins, shifted, nowMs);
  }
  listRecalling(state).forEach(({ recall }) =>
    recordRecallRead(recall!, streams, groups === null ? null : revision),
  );
  return [...resumeConfirmed(state, nowMs), ...continueRecalls(state, nowMs)];
}

/** Lets this VM learn anew which versions may have begun streams, since it may have missed some. */
export function forgetPast({ streams }: EntryState, nowMs: number): void {
  streams.isPastKnown = false;
  streams.gapEndedAtMs = nowMs;
}

/** Records up to which revision and until when this VM knows the contents of the store. */
export function handleStoreContentsRead(
  state: EntryState,
  { ageMs, revision }: EntryEventOf<typeof EntryEventKind.StoreContentsRead>,
  nowMs: number,
): EntryCommand[] {
  const { store } = state;
  const knownAtMs = ageMs === null ? store.knownAtMs : Math.max(store.knownAtMs, nowMs - ageMs);
  if (Number.isFinite(store.knownAtMs) && knownAtMs - store.knownAtMs > MAX_GAP_MS) {
    forgetPast(state, nowMs);
  }
  store.revision = Math.max(store.revision, revision);
  store.knownAtMs = knownAtMs;
  return resumeConfirmed(state, nowMs);
}

/** Reads which versions may have begun streams before this VM started, until the store has answered. */
export function recallPast(state: EntryState, nowMs: number): EntryCommand[] {
  const { areBackendsRead, streams } = state;
  const isDue = areBackendsRead && streams.origins.lifeMs > 0 && !isPastKnown(state, nowMs);
  return isDue && nowMs - streams.readAtMs >= PAST_RETRY_MS ? readOrigins(state, nowMs) : [];
}
