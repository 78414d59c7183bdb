/**
 * Detects crashes of backend servers. A lost connection alone may have other causes, so the server is probed: only a
 * machine that refuses connections proves that the process has ended, unless this VM connects to no other server either. The requests that lost their connections before
 * their answers had been running for some time are suspects of having caused the crash. Those that have prompt
 * parts or are suspects of an earlier crash are retried only after the probe.
 */
import {
  getProcessKey,
  getSharedParts,
  type LostConnections,
  recordCrash,
  recordHealthyCauses,
  type Suspect,
  WitnessStatus,
} from '../../../state/entry/crashEvidence.js';
import type { Diagnostic } from '../../../state/diagnostics.js';
import type { Backend } from '../../../state/entry/backends.js';
import { RunState } from '../../../state/types.js';
import { LogLevel } from '../../events.js';
import { markCrashed } from '../requests/backendSelection.js';
import {
  createEntryLog,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
} from '../commands.js';
import { type EntryEventKind, type EntryEventOf, ProbeOutcome } from '../events.js';
import { spreadEvidence } from '../exchange/evidenceSpread.js';
import { askWitnesses, recordWitnessProbe } from './crashWitnesses.js';
import { isAnswerHealthy, listRecordCauses, reviewEvidence } from './quarantines.js';
import { retryOrEnd } from '../requests/retries.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from '../state.js';

/** Whether the loss of a request's connection is the crash of its server. */
export const LossCause = {
  /** It does not decide how the request goes on. */
  Irrelevant: 'irrelevant',
  /** The server is being probed, and the result decides whether the request may be retried. */
  Unverified: 'unverified',
  Crash: 'crash',
} as const;
export type LossCause = (typeof LossCause)[keyof typeof LossCause];

/** Keeps the line on a crash short; the evidence has all suspects. */
const MAX_LOGGED_SUSPECTS = 16;
/** States of an attempt whose server had sent at least the head of its answer. */
const ANSWERING_STATES: ReadonlySet<RunState> = new Set([RunState.Accepted, RunState.Streaming]);

/** Returns whether the end of a server's process is expected: it is leaving, or no longer registered. */
function isEndExpected({ isLeaving, removeAtMs }: Backend): boolean {
  return isLeaving || removeAtMs !== null;
}

/** Adds a suspect to the crash of its server, and sends that to the other VMs. */
function addSuspect(
  state: EntryState,
  { entry }: Backend,
  suspect: Suspect,
  nowMs: number,
): EntryCommand[] {
  const { address, bornAtWallMs, id: serverId, service } = entry;
  const crash = { serverId, bornAtWallMs, service, address, atMs: nowMs, suspects: [suspect] };
  return recordCrash(state.crashEvidence, crash)
    ? [...reviewEvidence(state, nowMs), ...spreadEvidence(state)]
    : [];
}

/** Returns whether other servers may have crashed under a request: under its prompt parts, or when it was sent before. */
function mayHaveCrashedOthers(
  { lostConnections, crashEvidence }: EntryState,
  { isTrial, request, requestCause }: ForwardRecord,
): boolean {
  const isSent = (suspect: Suspect): boolean => suspect.requestCause === requestCause;
  const losses = [...lostConnections.values(), ...crashEvidence.crashes.values()];
  return (
    isTrial ||
    getSharedParts(request.promptParts).length > 0 ||
    losses.some(({ suspects }) => suspects.some(isSent))
  );
}

/**
 * Records that a request's connection to its server was lost. Probes the server if it is not known yet whether it has
 * crashed.
 */
export function recordLostConnection(
  state: EntryState,
  record: ForwardRecord,
  backend: Backend,
  runState: RunState,
  nowMs: number,
): { readonly cause: LossCause; readonly commands: EntryCommand[] } {
  const { request, requestCause, service } = record;
  const { Crash, Irrelevant, Unverified } = LossCause;
  if (isEndExpected(backend)) {
    return { cause: Irrelevant, commands: [] };
  }
  if (isAnswerHealthy(record, nowMs)) {
    recordHealthyCauses(state.crashEvidence, service.name, listRecordCauses(record), nowMs);
    return { cause: Irrelevant, commands: [] };
  }
  const { entry } = backend;
  const isAnswering = ANSWERING_STATES.has(runState);
  const suspect = { parts: request.promptParts, requestCause, isAnswering };
  const processKey = getProcessKey(entry.id, entry.bornAtWallMs);
  if (state.crashEvidence.crashes.has(processKey)) {
    return { cause: Crash, commands: addSuspect(state, backend, suspect, nowMs) };
  }
  const cause = mayHaveCrashedOthers(state, record) ? Unverified : Irrelevant;
  const pending = state.lostConnections.get(processKey);
  if (pending !== undefined) {
    pending.suspects.push(suspect);
    return { cause, commands: [] };
  }
  const lost: LostConnections = {
    entry,
    firstLostAtMs: nowMs,
    suspects: [suspect],
    isRefused: null,
    witness: WitnessStatus.Asked,
    askedKeys: new Set(),
  };
  state.lostConnections.set(processKey, lost);
  const { address } = entry;
  const probe: EntryCommand = { kind: EntryCommandKind.ProbeBackend, address, processKey };
  return { cause, commands: [probe, ...askWitnesses(state, lost)] };
}

/** Lets a request wait for the probe of its server. */
export function startVerifying(
  state: EntryState,
  record: ForwardRecord,
  backend: Backend,
  lost: { readonly diagnostic: Diagnostic; readonly isAnswerBegun: boolean },
): void {
  const { bornAtWallMs, id } = backend.entry;
  record.phase = ForwardPhase.Verifying;
  record.lostAttempt = { ...lost, processKey: getProcessKey(id, bornAtWallMs) };
}

function reportCrash(state: EntryState, lost: LostConnections, nowMs: number): EntryCommand[] {
  const { address, bornAtWallMs, id: serverId, service } = lost.entry;
  const { firstLostAtMs: atMs, suspects } = lost;
  const crash = { serverId, bornAtWallMs, service, address, atMs, suspects };
  recordCrash(state.crashEvidence, crash);
  markCrashed(state, crash);
  return [
    createEntryLog(LogLevel.Warn, EntryLogPrefix.Backend, 'A backend server has crashed.', {
      server: serverId,
      service,
      address,
      suspects: suspects
        .slice(0, MAX_LOGGED_SUSPECTS)
        .map(({ parts, requestCause }) => [...parts, requestCause].join('+'))
        .join(' '),
      verifiedAfterMs: Math.round(nowMs - atMs),
    }),
    ...reviewEvidence(state, nowMs),
    ...spreadEvidence(state),
  ];
}

/** Logs that a server refuses connections, which is not taken for a crash. */
function logUnwitnessed({ entry, firstLostAtMs }: LostConnections, nowMs: number): EntryCommand {
  const { address, id: server, service } = entry;
  return createEntryLog(
    LogLevel.Warn,
    EntryLogPrefix.Backend,
    'A backend server refuses connections, and no other accepts one: no crash is reported.',
    { server, service, address, verifiedAfterMs: Math.round(nowMs - firstLostAtMs) },
  );
}

/** Lets the requests go on that waited for the probe of a server. */
function continueRequests(
  state: EntryState,
  processKey: string,
  isCrashSuspect: boolean,
  nowMs: number,
): EntryCommand[] {
  const waiting = [...state.requests.values()].filter(
    ({ lostAttempt, phase }) =>
      phase === ForwardPhase.Verifying && lostAttempt?.processKey === processKey,
  );
  return waiting.flatMap((record) => {
    const { diagnostic, isAnswerBegun } = record.lostAttempt!;
    record.lostAttempt = null;
    const failed = {
      diagnostic,
      isAnswerBegun,
      isModelMissing: false,
      isNotRun: false,
      isServerFull: false,
      isCrashSuspect,
    };
    return retryOrEnd(state, record, failed, nowMs);
  });
}

/** Ends the verification of a server once its probe has ended, and those of its witnesses if one is needed. */
function endIfVerified(
  state: EntryState,
  processKey: string,
  lost: LostConnections,
  nowMs: number,
): EntryCommand[] {
  const { isRefused, witness } = lost;
  if (isRefused === null || (isRefused && witness === WitnessStatus.Asked)) {
    return [];
  }
  state.lostConnections.delete(processKey);
  const isCrash = isRefused && witness === WitnessStatus.Found;
  const crash = isCrash ? reportCrash(state, lost, nowMs) : [];
  const unwitnessed = isRefused && !isCrash ? [logUnwitnessed(lost, nowMs)] : [];
  return [...crash, ...unwitnessed, ...continueRequests(state, processKey, isCrash, nowMs)];
}

/** Records the crash that probes have proved, and lets the requests go on that waited for the probes. */
export function handleBackendProbed(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.BackendProbed>,
  nowMs: number,
): EntryCommand[] {
  const { outcome, processKey } = event;
  const lost = state.lostConnections.get(processKey);
  if (lost !== undefined) {
    lost.isRefused ??= outcome === ProbeOutcome.Gone;
  }
  recordWitnessProbe(state, processKey, outcome);
  return [...state.lostConnections].flatMap(([key, each]) =>
    endIfVerified(state, key, each, nowMs),
  );
}
