/**
 * Decides how a request goes on that was passed to another VM and got no answer there.
 */
import {
  createDiagnostic,
  type Diagnostic,
  Diagnostics,
  findDiagnosticMessage,
} from '../../../state/diagnostics.js';
import { combineRunStatuses, getRunStatus } from '../../../state/runState.js';
import { RunStatus } from '../../../state/types.js';
import { LogLevel } from '../../events.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix } from '../commands.js';
import type { EntryEventKind, EntryEventOf } from '../events.js';
import type { PassedEnd } from '../passedRequest.js';
import { recordOthersReach } from '../servers/serviceReach.js';
import { PassResult } from '../../../state/entry/passTargets.js';
import { type EntryState, type ForwardRecord } from '../state.js';
import { recordBegunAnswer } from './answerProgress.js';
import { countPass, recordPassReturned } from './passing.js';
import {
  abortForward,
  getRequestLogFields,
  refuseForward,
  releaseBackend,
} from './requestCompletion.js';
import { retryOrEnd } from './retries.js';

/** Reasons that concern the VM which had the request: another VM may run it. */
const VM_REASONS: ReadonlySet<number> = new Set([
  Diagnostics.NotConfigured.code,
  Diagnostics.Stopping.code,
  Diagnostics.VmBehind.code,
  Diagnostics.MemoryExhausted.code,
  Diagnostics.ServersUnreachable.code,
  Diagnostics.UnknownPeer.code,
  Diagnostics.StreamVersionGone.code,
  Diagnostics.PassingUnsupported.code,
]);

/** Those of them that last. */
const LASTING_REASONS: ReadonlySet<number> = new Set([
  Diagnostics.ServersUnreachable.code,
  Diagnostics.PassingUnsupported.code,
]);

/** Returns the reason that another VM gives, or that of this VM's own attempt. */
function getReason(end: PassedEnd | null, failure: Diagnostic): Diagnostic {
  if (end === null) {
    return failure;
  }
  const entry = findDiagnosticMessage(end.code) ?? Diagnostics.PeerUnavailable;
  return { ...createDiagnostic(entry), message: end.message };
}

/** Returns how a pass has ended, by what is known about the execution of the request. */
function getPassResult(end: PassedEnd | null, status: RunStatus): PassResult {
  if (end !== null && !VM_REASONS.has(end.code)) {
    return PassResult.Rejected;
  }
  return status === RunStatus.NotRun ? PassResult.Returned : PassResult.Lost;
}

/** Ends a request for the reason that another VM gives. */
function endForReason(
  state: EntryState,
  record: ForwardRecord,
  reason: Diagnostic,
  retryAfterMs: number | null,
  nowMs: number,
): EntryCommand[] {
  return record.firstEventAtMs === null
    ? refuseForward(state, record, reason, nowMs, retryAfterMs)
    : abortForward(state, record, reason, nowMs);
}

/** Handles the end of an attempt at another VM that has brought no answer. */
export function handlePassFailed(
  state: EntryState,
  record: ForwardRecord,
  event: EntryEventOf<typeof EntryEventKind.AttemptFailed>,
  nowMs: number,
): EntryCommand[] {
  const { failure, isAnswerBegun, passedEnd: end = null } = event;
  const vmId = record.passedTo!;
  const service = record.service.name;
  const status = end?.run ?? getRunStatus(failure.runState);
  const isNotRun = status === RunStatus.NotRun;
  const result = getPassResult(end, status);
  const reason = getReason(end, failure.diagnostic);
  record.runStatus = combineRunStatuses(record.runStatus, status);
  record.hasArrived ||= !isNotRun;
  record.isPlaceDoubtful ||= event.isPlaceDoubtful ?? false;
  (isNotRun ? record.triedVmIds : record.possiblyRunBackendIds).push(vmId);
  countPass(state, result);
  const log = createEntryLog(
    LogLevel.Info,
    EntryLogPrefix.Request,
    'A passed request got no answer.',
    {
      ...getRequestLogFields(record, nowMs),
      result,
      reason: reason.key,
      detail: reason.message,
      runState: failure.runState,
      isAnswerBegun,
    },
  );
  const begun = isAnswerBegun
    ? recordBegunAnswer(state, record, event.lastEventAtMs ?? null, nowMs)
    : [];
  releaseBackend(state, record);
  if (result === PassResult.Rejected) {
    if (isNotRun) {
      recordOthersReach(state, service, nowMs);
    }
    const ended = endForReason(state, record, reason, end?.retryAfterMs ?? null, nowMs);
    return [log, ...begun, ...ended];
  }
  // A VM that does not know the servers of one version may have those of others.
  if (reason.code !== Diagnostics.StreamVersionGone.code) {
    recordPassReturned(state, vmId, service, LASTING_REASONS.has(reason.code), nowMs);
  }
  const failed = {
    diagnostic: reason,
    isAnswerBegun,
    isModelMissing: false,
    isNotRun,
    isServerFull: false,
    isCrashSuspect: false,
  };
  return [log, ...begun, ...retryOrEnd(state, record, failed, nowMs)];
}
