/**
 * Applies the evidence about prompts that crash backend servers: quarantines prompt parts, rejects requests that have
 * them, and merges the evidence of the other VMs. No VM sees enough crashes by itself.
 */
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../../state/diagnostics.js';
import { addQuarantines, isRetryDoubtful } from '../../../state/entry/crashAttribution.js';
import type { PromptEvidenceReport } from '../../../state/entry/evidenceReports.js';
import {
  getSharedParts,
  mergeHealthyParts,
  type Quarantine,
  recordCrash,
  recordHealthyParts,
} from '../../../state/entry/promptEvidence.js';
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

/** Returns whether an answer has been running for long enough to show that its prompt is healthy. */
export function isAnswerHealthy({ firstEventAtMs }: ForwardRecord, nowMs: number): boolean {
  return firstEventAtMs !== null && nowMs - firstEventAtMs >= HEALTHY_AFTER_MS;
}

/** Finds the quarantine that applies to a request; undefined if there is none or the request is a trial. */
export function findRecordQuarantine(
  { promptEvidence }: EntryState,
  { isTrial, request, service }: ForwardRecord,
): Quarantine | undefined {
  return isTrial
    ? undefined
    : findQuarantine(promptEvidence, service.name, getSharedParts(request.promptParts));
}

/** Returns whether a request may be the cause of the crash of its server. */
export function isRepeatDoubtful(
  { promptEvidence }: EntryState,
  { request, service }: ForwardRecord,
): boolean {
  return isRetryDoubtful(promptEvidence, service.name, getSharedParts(request.promptParts));
}

/** Creates the reason with which requests that have quarantined parts are rejected. */
export function createQuarantineRefusal({ crashCount, parts }: Quarantine): Diagnostic {
  return createDiagnostic(Diagnostics.PromptQuarantined, parts.join('+'), crashCount);
}

function createQuarantineFields(quarantine: Quarantine, nowMs: number): LogFields {
  return {
    service: quarantine.service,
    parts: quarantine.parts.join('+'),
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

/** Rejects the requests in flight that have the parts of a quarantine and whose answers have not begun. */
function rejectQuarantined(
  state: EntryState,
  quarantine: Quarantine,
  nowMs: number,
): EntryCommand[] {
  const reason = createQuarantineRefusal(quarantine);
  const retryAfterMs = Math.max(0, getTrialAtMs(quarantine) - nowMs);
  return [...state.requests.values()]
    .filter((record) => record.firstEventAtMs === null)
    .filter((record) => findRecordQuarantine(state, record) !== undefined)
    .flatMap((record) => terminateForward(state, record, reason, nowMs, retryAfterMs));
}

/** Records the parts of the answers that are running, so that their prompts are not suspected. */
function recordRunningAnswers(state: EntryState, nowMs: number): void {
  state.requests.forEach((record) => {
    if (record.phase === ForwardPhase.Dispatched && isAnswerHealthy(record, nowMs)) {
      const parts = getSharedParts(record.request.promptParts);
      recordHealthyParts(state.promptEvidence, record.service.name, parts, nowMs);
    }
  });
}

/** Quarantines the parts that the evidence singles out, after the evidence has changed. */
export function reviewEvidence(state: EntryState, nowMs: number): EntryCommand[] {
  const { promptEvidence } = state;
  recordRunningAnswers(state, nowMs);
  extendQuarantines(promptEvidence);
  return addQuarantines(promptEvidence).flatMap((quarantine) => [
    logQuarantine('Prompt parts were quarantined.', quarantine, nowMs),
    ...rejectQuarantined(state, quarantine, nowMs),
  ]);
}

function release(state: EntryState, quarantine: Quarantine, nowMs: number): EntryCommand[] {
  releaseQuarantine(state.promptEvidence, quarantine);
  return [
    logQuarantine('A quarantine has ended: its parts are healthy.', quarantine, nowMs),
    ...spreadEvidence(state),
  ];
}

/** Records that a request was answered, which ends the quarantine of its prompt parts if there is one. */
export function recordHealthyAnswer(
  state: EntryState,
  { request, service }: ForwardRecord,
  nowMs: number,
): EntryCommand[] {
  const { promptEvidence } = state;
  const parts = getSharedParts(request.promptParts);
  recordHealthyParts(promptEvidence, service.name, parts, nowMs);
  const quarantine = findQuarantine(promptEvidence, service.name, parts);
  return quarantine === undefined ? [] : release(state, quarantine, nowMs);
}

function mergeOneQuarantine(
  state: EntryState,
  quarantine: Quarantine,
  nowMs: number,
): EntryCommand[] {
  const { promptEvidence } = state;
  if (!mergeQuarantine(promptEvidence, quarantine)) {
    return [];
  }
  const log = logQuarantine('Another VM has changed a quarantine.', quarantine, nowMs);
  return isRefuted(promptEvidence, quarantine)
    ? [log, ...release(state, quarantine, nowMs)]
    : [log, ...rejectQuarantined(state, quarantine, nowMs), ...spreadEvidence(state)];
}

/** Merges evidence of another VM or of the store. */
export function mergePromptEvidence(
  state: EntryState,
  { crashes, healthyParts, quarantines }: PromptEvidenceReport,
  nowMs: number,
): EntryCommand[] {
  const { promptEvidence } = state;
  mergeHealthyParts(promptEvidence, healthyParts, nowMs);
  const newCrashes = crashes.filter((crash) => recordCrash(promptEvidence, crash));
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
export function expirePromptEvidence(state: EntryState, nowMs: number): void {
  const { nextTrialAtMs, promptEvidence } = state;
  expireEvidence(promptEvidence, nowMs);
  [...nextTrialAtMs.keys()]
    .filter((key) => !promptEvidence.quarantines.has(key))
    .forEach((key) => nextTrialAtMs.delete(key));
}

/** Whether a request was rejected, and the commands that follow from the check. */
export interface QuarantineCheck {
  readonly isRejected: boolean;
  readonly commands: EntryCommand[];
}

/** Rejects a request that has quarantined prompt parts. */
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
    const text = 'A request with quarantined prompt parts is run as a trial.';
    return { isRejected: false, commands: [createEntryLog(Info, prefix, text, fields)] };
  }
  const reason = createQuarantineRefusal(quarantine);
  const retryAfterMs = Math.max(0, getTrialAtMs(quarantine) - nowMs);
  const commands = [
    createEntryLog(Info, prefix, 'The request has quarantined prompt parts.', fields),
    ...refuseForward(state, record, reason, nowMs, retryAfterMs),
  ];
  return { isRejected: true, commands };
}
