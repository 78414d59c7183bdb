/**
 * The checks of a soak of entry VMs: what callers got, what servers ran and ordered, and how processes ended and started.
 */
import { ENTRY_KINDS, type EntryOutcome } from './entryCallers.js';
import { type EntryFleet, GRACE_MS, type Run, type SoakVm, type VmLife } from './entryFleet.js';
import { EVENT_COUNT, formatPlainAnswer, parseEvents } from './numberedEvents.js';

/** A kill, a suspension or a cut of its VM excuses requests that were open within this time of it. */
const EXCUSED_MS = 2_000;
/** A process that was thawed may have had an order on its way for this time. */
const THAW_MS = 300;
const LEASE_MS = 3_000;
/** Time in which a VM is ready that finds its ports free and the store sound (`recover_s`). */
export const READY_MS = 12_000;
/** Delay of the end of a process, and of the records, behind the moment that counts. */
const RECORD_MS = 300;
const LOSS_SLACK_MS = 200;
/** A request may be cut when it has used this much of its time. */
const USED_FRACTION = 0.7;
const GRACE_FRACTION = 5 / 6;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const STATUSES: ReadonlySet<number> = new Set([0, 200, 502, 504, ...NOT_RUN_STATUSES]);

function listKills({ lives }: SoakVm): number[] {
  return lives.flatMap(({ endSignals }) =>
    endSignals.filter(({ signal }) => signal === 'SIGKILL').map(({ atMs }) => atMs),
  );
}

function isVmHarmed({ endedAtMs, sentAtMs, vm }: EntryOutcome): boolean {
  const [fromMs, untilMs] = [sentAtMs - EXCUSED_MS, endedAtMs + EXCUSED_MS];
  return (
    listKills(vm).some((atMs) => atMs > fromMs && atMs < untilMs) ||
    [...vm.suspensions, ...vm.linkCuts].some(
      (span) => span.untilMs > fromMs && span.fromMs < untilMs,
    )
  );
}

function isServerKilled({ endedAtMs, sentAtMs }: EntryOutcome, runs: readonly Run[]): boolean {
  return runs.some(
    ({ server: { killedAtMs } }) =>
      killedAtMs > sentAtMs - EXCUSED_MS && killedAtMs < endedAtMs + RECORD_MS,
  );
}

function isSpoiled(runs: readonly Run[]): boolean {
  return runs.some(({ spoiledBy }) => spoiledBy !== null);
}

function isCutByGrace({ endedAtMs, vm }: EntryOutcome): boolean {
  return vm.lives.some(({ endSignals, endedAtMs: lifeEndedAtMs }) =>
    endSignals.some(
      ({ atMs, signal }) =>
        signal === 'SIGTERM' &&
        endedAtMs > atMs + GRACE_MS * GRACE_FRACTION &&
        endedAtMs < lifeEndedAtMs + RECORD_MS,
    ),
  );
}

function hasUsedItsTime({ endedAtMs, kind, sentAtMs }: EntryOutcome): boolean {
  return endedAtMs - sentAtMs > ENTRY_KINDS[kind].deadlineMs * USED_FRACTION;
}

/** Earlier versions pass answers on without framing, which the kernel ends in order if their VM is killed. */
function isCutByEarlierVersion({ endedAtMs, isFramed, life, sentAtMs }: EntryOutcome): boolean {
  const wasKilled = life.endSignals.some(
    ({ atMs, signal }) => signal === 'SIGKILL' && atMs > sentAtMs && atMs < endedAtMs + RECORD_MS,
  );
  return !isFramed && !life.isPresent && wasKilled;
}

/** Returns what is wrong with the events of a stream: their order, their runs, or text between them. */
function findStreamFault(outcome: EntryOutcome, runs: readonly Run[]): string | null {
  const { body, id, isComplete, kind, lastEventId } = outcome;
  const { endsWithinEvent, events, foreign } = parseEvents(body);
  if (foreign.length > 0) {
    return `foreign text ${JSON.stringify(foreign[0])}`;
  }
  let previousId = lastEventId;
  let previousRun = '';
  for (const { attemptId, eventId, run } of events) {
    const isNewRun = run !== previousRun;
    const from = runs.find((known) => known.run === run)?.lastEventId;
    if (attemptId !== id || eventId !== previousId + 1) {
      return `event ${eventId} of ${attemptId} after ${previousId}`;
    }
    if (
      isNewRun &&
      (from !== previousId || (previousRun !== '' && !ENTRY_KINDS[kind].mayRunTwice))
    ) {
      return `event ${eventId} of run ${run}, from ${from}, after run ${previousRun}`;
    }
    previousId = eventId;
    previousRun = run;
  }
  const isCut = previousId < EVENT_COUNT || endsWithinEvent;
  return isComplete && isCut && !isCutByEarlierVersion(outcome)
    ? `complete after event ${previousId}`
    : null;
}

type Check = (outcome: EntryOutcome, runs: readonly Run[]) => boolean | string | null;

/** Each returns true, or what was seen, if the outcome of a request breaks a promise. */
const BROKEN_PROMISES: Readonly<Record<string, Check>> = {
  'MIXED, a plain answer that is not the whole one': (outcome) =>
    outcome.status === 200 &&
    outcome.isComplete &&
    !ENTRY_KINDS[outcome.kind].isStream &&
    outcome.body !== formatPlainAnswer(outcome.id) &&
    !isCutByEarlierVersion(outcome),
  'MIXED, an answer to another request': ({ answeredId, id, status }) =>
    status === 200 && answeredId !== id && answeredId,
  'ORDER, a stream': (outcome, runs) =>
    outcome.status === 200 && ENTRY_KINDS[outcome.kind].isStream && findStreamFault(outcome, runs),
  'TWICE, a request that may run once': ({ kind }, runs) =>
    runs.length > 1 && !ENTRY_KINDS[kind].mayRunTwice && runs.map(({ run }) => run).join(' '),
  'REFUSED, a request that ran': ({ kind, status }, runs) =>
    runs.length > 0 && NOT_RUN_STATUSES.has(status) && !ENTRY_KINDS[kind].mayRunTwice,
  'DENIED or failed, a proper request': ({ status }) => !STATUSES.has(status),
  'LOST, a request that was read': (outcome, runs) => {
    const { endedAtMs, errorCode, hasLeft, isComplete, sentAtMs, status } = outcome;
    const isCut = status === 0 || (status === 200 && !isComplete);
    const wasConnected = errorCode !== 'ECONNREFUSED';
    const wasRead = runs.length > 0 || (wasConnected && endedAtMs - sentAtMs > LOSS_SLACK_MS);
    const isExcused =
      hasLeft ||
      isVmHarmed(outcome) ||
      isServerKilled(outcome, runs) ||
      isSpoiled(runs) ||
      isCutByGrace(outcome) ||
      hasUsedItsTime(outcome);
    return isCut && wasRead && !isExcused;
  },
};

function groupRuns({ runs }: EntryFleet): ReadonlyMap<string, readonly Run[]> {
  const runsById = new Map<string, Run[]>();
  runs.forEach((run) => runsById.set(run.attemptId, [...(runsById.get(run.attemptId) ?? []), run]));
  return runsById;
}

/** Returns the outcomes of the requests whose streams no server spoiled. */
export function listUnspoiled(
  fleet: EntryFleet,
  outcomes: readonly EntryOutcome[],
): readonly EntryOutcome[] {
  const runsById = groupRuns(fleet);
  return outcomes.filter(({ id }) => !isSpoiled(runsById.get(id) ?? []));
}

/** Returns the promises that were broken to callers. */
export function listBrokenPromises(fleet: EntryFleet, outcomes: readonly EntryOutcome[]): string[] {
  const runsById = groupRuns(fleet);
  return outcomes.flatMap((outcome) =>
    Object.entries(BROKEN_PROMISES).flatMap(([name, check]) => {
      const { endedAtMs, errorCode, id, isComplete, isFramed, kind, sentAtMs, status, vm } =
        outcome;
      const runs = runsById.get(id) ?? [];
      const found = check(outcome, runs);
      const times = `${Math.round(sentAtMs)} to ${Math.round(endedAtMs)} ms`;
      const ran = runs.map(({ run }) => run).join(' ');
      const killed = runs
        .map(({ server }) => Math.round(server.killedAtMs))
        .filter(Number.isFinite)
        .join(' ');
      const lastEvent = parseEvents(outcome.body).events.at(-1)?.eventId;
      const spoiled = runs.flatMap(({ spoiledBy }) => spoiledBy ?? []).join(', ');
      const facts = {
        ...{ kind, isFramed, status, isComplete, found, lastEvent },
        ...{ ran, killed, spoiled, errorCode },
      };
      return found === true || typeof found === 'string'
        ? [`${name}: ${id} at ${vm.name}, ${times}, ${JSON.stringify(facts)}`]
        : [];
    }),
  );
}

/** Returns the streams that hold events of servers of several software versions, over all tries of their callers. */
export function listJoinedStreams(
  { runs }: EntryFleet,
  outcomes: readonly EntryOutcome[],
): string[] {
  const versionByRun = new Map(runs.map(({ run, server }) => [run, server.softwareVersion]));
  const partsByStream = new Map<string, string[]>();
  outcomes
    .filter(({ kind, status }) => status === 200 && ENTRY_KINDS[kind].isStream)
    .forEach(({ body, firstId, id, vm }) => {
      const versions = parseEvents(body).events.map(({ run }) => versionByRun.get(run) ?? run);
      const parts = [...new Set(versions)].map((version) => `${version} ${id} at ${vm.name}`);
      partsByStream.set(firstId, [...(partsByStream.get(firstId) ?? []), ...parts]);
    });
  return [...partsByStream.values()]
    .filter((parts) => new Set(parts.map((part) => part.split(' ')[0])).size > 1)
    .map((parts) => `ORDER, a stream of several software versions: ${parts.join(', ')}`);
}

/** Returns whether a process ended as its signals say. */
function hasExpectedEnd({ endSignals, endedAtMs, process: { child } }: VmLife): boolean {
  if (endedAtMs === Number.POSITIVE_INFINITY) {
    return true;
  }
  const [first] = endSignals;
  const wasKilled = endSignals.some(({ signal }) => signal === 'SIGKILL');
  return (
    first !== undefined &&
    first.atMs <= endedAtMs &&
    // A process that is terminated before its program runs ends by the signal.
    (child.exitCode === 0 ||
      child.signalCode === 'SIGTERM' ||
      (wasKilled && child.signalCode === 'SIGKILL'))
  );
}

/** Sums the delays of its loop that a process has logged since a time: it had no processor then. */
function sumLoopDelaysMs({ process }: VmLife, sinceMs: number): number {
  const delays = process.getOutput().matchAll(/"time":(\d+),"vmId":"[^"]*","delayMs":(\d+)/g);
  return [...delays]
    .filter(([, time]) => Number(time) - performance.timeOrigin > sinceMs)
    .reduce((sum, [, , delayMs]) => sum + Number(delayMs), 0);
}

/** Returns for how long, as samples show, the main thread of a process waited for a processor after a time. */
function getProcessorWaitMs({ processorWaits }: VmLife, fromMs: number): number {
  const before = processorWaits.findLast(({ atMs }) => atMs <= fromMs)?.waitedMs ?? 0;
  return Math.round((processorWaits.at(-1)?.waitedMs ?? before) - before);
}

function overlap(
  spans: readonly { fromMs: number; untilMs: number }[],
  fromMs: number,
  untilMs: number,
) {
  return spans.filter((span) => span.fromMs < untilMs && span.untilMs > fromMs);
}

/** Returns the processes that ended by themselves, did not end when asked to, or were not ready in time. */
export function listProcessFaults(fleet: EntryFleet): string[] {
  const nowMs = performance.now();
  return fleet.vms.flatMap(({ lives, name, suspensions }) =>
    lives.flatMap((life, i) => {
      const { child, getOutput } = life.process;
      const [end] = life.endSignals;
      const previousEndMs = lives[i - 1]?.endedAtMs ?? 0;
      let fromMs = Math.max(life.startedAtMs, previousEndMs);
      const readyMs = Math.min(nowMs, life.readyAtMs, life.endedAtMs);
      [...suspensions, ...fleet.storeDisruptions]
        .sort((left, right) => left.fromMs - right.fromMs)
        .forEach((span) => {
          if (overlap([span], fromMs, readyMs).length > 0) {
            fromMs = Math.max(fromMs, span.untilMs);
          }
        });
      const isLate = Math.min(readyMs, end?.atMs ?? readyMs) - fromMs > READY_MS;
      const suspendedMs = overlap(suspensions, end?.atMs ?? 0, life.endedAtMs).reduce(
        (sum, span) => sum + span.untilMs - span.fromMs,
        0,
      );
      const endedMs = Math.min(nowMs, life.endedAtMs) - (end?.atMs ?? nowMs) - suspendedMs;
      const facts =
        `${name}, life ${i + 1}, ${child.exitCode ?? child.signalCode}, started ${Math.round(life.startedAtMs)}, ` +
        `${life.endSignals.map(({ atMs, signal }) => `${signal} ${Math.round(atMs)}`).join(', ')}, ended ` +
        `${Math.round(life.endedAtMs)} ms, waited for a processor ${getProcessorWaitMs(life, life.startedAtMs)} ms, ` +
        `${getProcessorWaitMs(life, end?.atMs ?? nowMs)} ms of it after its signal`;
      const tail = getOutput().slice(-600);
      return [
        ...(hasExpectedEnd(life) ? [] : [`FAULT, ended by itself: ${facts}: ${tail}`]),
        ...(isLate
          ? [`FAULT, not ready after ${Math.round(readyMs - fromMs)} ms: ${facts}: ${tail}`]
          : []),
        ...(endedMs > GRACE_MS + RECORD_MS + sumLoopDelaysMs(life, end?.atMs ?? nowMs)
          ? [`FAULT, not ended after ${Math.round(endedMs)} ms: ${facts}: ${tail}`]
          : []),
      ];
    }),
  );
}

/** Returns the orders whose fence is lower than one before, or that two holders sent in turn. */
export function listOrderFaults({ orders, vms }: EntryFleet): string[] {
  const isThawed = (holder: string, atMs: number): boolean =>
    vms
      .filter(({ name }) => name === holder)
      .some(({ suspensions }) =>
        suspensions.some(({ untilMs }) => atMs >= untilMs - 1 && atMs < untilMs + THAW_MS),
      );
  const counted = orders.filter(({ atMs, holder }) => !isThawed(holder, atMs));
  return counted.flatMap((order, i) => {
    const before = counted.slice(0, i);
    const recent = before.filter(({ atMs }) => order.atMs - atMs < LEASE_MS);
    const otherIndex = recent.findLastIndex(({ holder }) => holder !== order.holder);
    const takesTurns = recent
      .slice(0, Math.max(0, otherIndex))
      .some(({ holder }) => holder === order.holder);
    const text = `${order.holder} with ${order.fence} at ${Math.round(order.atMs)} ms`;
    return [
      ...(before.some(({ fence }) => fence > order.fence) ? [`ORDER, a lower fence: ${text}`] : []),
      ...(before.some(({ fence, holder }) => fence === order.fence && holder !== order.holder)
        ? [`ONE, one fence of two holders: ${text}`]
        : []),
      ...(takesTurns ? [`ONE, holders in turn: ${text}`] : []),
    ];
  });
}
