/**
 * Applies the evidence about what crashes backend servers: quarantines prompt parts and requests, rejects the requests
 * that these hold back, and merges the evidence of the other VMs. No VM sees enough crashes by itself.
 */
import {
  createDiagnostic,
  type Diagnostic,
  type DiagnosticMessage,
  Diagnostics,
} from '../../../state/diagnostics.js';
import { CauseKind, getCauseKind } from '../../../state/entry/crashCauses.js';
import { addQuarantines, isRetryDoubtful } from '../../../state/entry/crashAttribution.js';
import type { CrashEvidenceReport } from '../../../state/entry/evidenceReports.js';
import {
  listCauses,
  mergeHealthyCauses,
  type Quarantine,
  recordCrash,
  recordHealthyCauses,
} from '../../../state/entry/crashEvidence.js';
import {
  expireEvidence,
  extendQuarantines,
  findQuarantine,
  getQuarantineKey,
  getTrialAtMs,
  isRefuted,
  mergeQuarantine,
  releaseQuarantine,
} from '../../../state/entry/quarantineTable.js';
import { LogLevel } from '../../events.js';
import { markCrashed } from '../requests/backendSelection.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix, type LogFields } from '../commands.js';
import { spreadEvidence } from '../exchange/evidenceSpread.js';
import {
  getRequestLogFields,
  refuseForward,
  terminateForward,
} from '../requests/requestCompletion.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from '../state.js';

/** An answer that has been running for this time shows that its prompt does not crash its server. */
const HEALTHY_AFTER_MS = 200;
/** Time within which a trial that ended without a result is not repeated. */
const TRIAL_INTERVAL_MS = 10_000;

/** Returns whether the current attempt has been answering for long enough to show that its request is healthy. */
export function isAnswerHealthy({ attemptAnsweredAtMs }: ForwardRecord, nowMs: number): boolean {
  return attemptAnsweredAtMs !== null && nowMs - attemptAnsweredAtMs >= HEALTHY_AFTER_MS;
}

/** Lists what may make a request crash its server. */
export function listRecordCauses({ request, requestCause }: ForwardRecord): string[] {
  return listCauses({ parts: request.promptParts, requestCause });
}

/** Finds the quarantine that applies to a request; undefined if there is none or the request is a trial. */
export function findRecordQuarantine(
  { crashEvidence }: EntryState,
  record: ForwardRecord,
): Quarantine | undefined {
  return record.isTrial
    ? undefined
    : findQuarantine(crashEvidence, record.service.name, listRecordCauses(record));
}

/** Returns whether a request may be the cause of the crash of its server. */
export function isRepeatDoubtful({ crashEvidence }: EntryState, record: ForwardRecord): boolean {
  return isRetryDoubtful(crashEvidence, record.service.name, listRecordCauses(record));
}

const REFUSALS_BY_CAUSE: Readonly<Record<CauseKind, DiagnosticMessage>> = {
  [CauseKind.PromptPart]: Diagnostics.PromptQuarantined,
  [CauseKind.Request]: Diagnostics.RequestQuarantined,
};

function getQuarantineKind({ causes }: Quarantine): CauseKind {
  return getCauseKind(causes[0] ?? '');
}

/** Creates the reason with which the requests that a quarantine holds back are rejected. */
export function createQuarantineRefusal(quarantine: Quarantine): Diagnostic {
  const { causes, crashCount } = quarantine;
  const message = REFUSALS_BY_CAUSE[getQuarantineKind(quarantine)];
  return createDiagnostic(message, causes.join('+'), crashCount);
}

/** Returns the time until the next trial of a quarantine. */
export function getQuarantineRetryAfterMs(quarantine: Quarantine, nowMs: number): number {
  return Math.max(0, getTrialAtMs(quarantine) - nowMs);
}

function createQuarantineFields(quarantine: Quarantine, nowMs: number): LogFields {
  return {
    service: quarantine.service,
    parts: quarantine.causes.join('+'),
    kind: getQuarantineKind(quarantine),
    crashes: quarantine.crashCount,
    episode: quarantine.episode,
    status: quarantine.status,
    firstCrashAgeMs: Math.round(nowMs - quarantine.firstCrashAtMs),
    lastCrashAgeMs: Math.round(nowMs - quarantine.lastCrashAtMs),
  };
}

function logQuarantine(text: string, quarantine: Quarantine, nowMs: number): EntryCommand {
  const fields = createQuarantineFields(quarantine, nowMs);
  return createEntryLog(LogLevel.Warn, EntryLogPrefix.Quarantine, text, fields);
}

const QUARANTINE_TEXTS: Readonly<Record<CauseKind, string>> = {
  [CauseKind.PromptPart]: 'Prompt parts were quarantined.',
  [CauseKind.Request]: 'A request was quarantined.',
};

/** Ends the requests that a quarantine holds back and whose answers have not begun, or wait to be resumed. */
function rejectQuarantined(
  state: EntryState,
  quarantine: Quarantine,
  nowMs: number,
): EntryCommand[] {
  const reason = createQuarantineRefusal(quarantine);
  const retryAfterMs = getQuarantineRetryAfterMs(quarantine, nowMs);
  return [...state.requests.values()]
    .filter(
      ({ firstEventAtMs, phase }) => firstEventAtMs === null || phase === ForwardPhase.Waiting,
    )
    .filter((record) => findRecordQuarantine(state, record) !== undefined)
    .flatMap((record) => terminateForward(state, record, reason, nowMs, retryAfterMs));
}

/** Records the causes of the answers that are running, so that they are not suspected. */
function recordRunningAnswers(state: EntryState, nowMs: number): void {
  state.requests.forEach((record) => {
    if (record.phase === ForwardPhase.Dispatched && isAnswerHealthy(record, nowMs)) {
      const causes = listRecordCauses(record);
      recordHealthyCauses(state.crashEvidence, record.service.name, causes, nowMs);
    }
  });
}

/** Quarantines what the evidence singles out, after the evidence has changed. */
export function reviewEvidence(state: EntryState, nowMs: number): EntryCommand[] {
  const { crashEvidence } = state;
  recordRunningAnswers(state, nowMs);
  extendQuarantines(crashEvidence);
  return addQuarantines(crashEvidence).flatMap((quarantine) => [
    logQuarantine(QUARANTINE_TEXTS[getQuarantineKind(quarantine)], quarantine, nowMs),
    ...rejectQuarantined(state, quarantine, nowMs),
  ]);
}

function release(state: EntryState, quarantine: Quarantine, nowMs: number): EntryCommand[] {
  releaseQuarantine(state.crashEvidence, quarantine);
  return [
    logQuarantine('A quarantine has ended: what it held back is healthy.', quarantine, nowMs),
    ...spreadEvidence(state),
  ];
}

/** Records that a request was answered, which ends the quarantine that holds it back if there is one. */
export function recordHealthyAnswer(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] {
  const { crashEvidence } = state;
  const { name } = record.service;
  const causes = listRecordCauses(record);
  recordHealthyCauses(crashEvidence, name, causes, nowMs);
  const quarantine = findQuarantine(crashEvidence, name, causes);
  return quarantine === undefined ? [] : release(state, quarantine, nowMs);
}

function mergeOneQuarantine(
  state: EntryState,
  quarantine: Quarantine,
  nowMs: number,
): EntryCommand[] {
  const { crashEvidence } = state;
  if (!mergeQuarantine(crashEvidence, quarantine)) {
    return [];
  }
  const log = logQuarantine('Another VM has changed a quarantine.', quarantine, nowMs);
  return isRefuted(crashEvidence, quarantine)
    ? [log, ...release(state, quarantine, nowMs)]
    : [log, ...rejectQuarantined(state, quarantine, nowMs), ...spreadEvidence(state)];
}

/** Merges evidence of another VM or of the store. */
export function mergeCrashEvidence(
  state: EntryState,
  { crashes, healthyCauses, quarantines }: CrashEvidenceReport,
  nowMs: number,
): EntryCommand[] {
  const { crashEvidence } = state;
  mergeHealthyCauses(crashEvidence, healthyCauses, nowMs);
  const newCrashes = crashes.filter((crash) => recordCrash(crashEvidence, crash));
  newCrashes.forEach((crash) => markCrashed(state, crash));
  const merged = quarantines.flatMap((quarantine) => mergeOneQuarantine(state, quarantine, nowMs));
  return newCrashes.length === 0
    ? merged
    : [...merged, ...reviewEvidence(state, nowMs), ...spreadEvidence(state)];
}

/**
 * Lets one request pass to test whether a quarantine is still needed, if that is due. Only the controller does, so that
 * there is one trial at a time in the fleet.
 */
function startTrialIfDue(
  state: EntryState,
  record: ForwardRecord,
  quarantine: Quarantine,
  nowMs: number,
): boolean {
  const key = getQuarantineKey(quarantine);
  const notBeforeMs = Math.max(getTrialAtMs(quarantine), state.nextTrialAtMs.get(key) ?? 0);
  if (state.placement.fence === null || nowMs < notBeforeMs) {
    return false;
  }
  state.nextTrialAtMs.set(key, nowMs + TRIAL_INTERVAL_MS);
  record.isTrial = true;
  return true;
}

/** Removes evidence that no longer counts. */
export function expireCrashEvidence(state: EntryState, nowMs: number): void {
  const { nextTrialAtMs, crashEvidence } = state;
  expireEvidence(crashEvidence, nowMs);
  [...nextTrialAtMs.keys()]
    .filter((key) => !crashEvidence.quarantines.has(key))
    .forEach((key) => nextTrialAtMs.delete(key));
}

/** Whether a request was rejected, and the commands that follow from the check. */
export interface QuarantineCheck {
  readonly isRejected: boolean;
  readonly commands: EntryCommand[];
}

/** Rejects a request that a quarantine holds back. */
export function checkQuarantine(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): QuarantineCheck {
  const quarantine = findRecordQuarantine(state, record);
  if (quarantine === undefined) {
    return { isRejected: false, commands: [] };
  }
  const fields = {
    ...getRequestLogFields(record, nowMs),
    ...createQuarantineFields(quarantine, nowMs),
  };
  const { Info } = LogLevel;
  const { Quarantine: prefix } = EntryLogPrefix;
  if (startTrialIfDue(state, record, quarantine, nowMs)) {
    const text = 'A quarantined request is run as a trial.';
    return { isRejected: false, commands: [createEntryLog(Info, prefix, text, fields)] };
  }
  const reason = createQuarantineRefusal(quarantine);
  const retryAfterMs = getQuarantineRetryAfterMs(quarantine, nowMs);
  const commands = [
    createEntryLog(Info, prefix, 'The request is quarantined.', fields),
    ...refuseForward(state, record, reason, nowMs, retryAfterMs),
  ];
  return { isRejected: true, commands };
}
