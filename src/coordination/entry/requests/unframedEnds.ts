/**
 * Counts and logs the ends of answers without a length, with what was found of their servers.
 */
import { LifeEvidence, SIGNS_OF_LIFE } from '../../../state/entry/serverLife.js';
import { LogLevel } from '../../events.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix } from '../commands.js';
import type { EntryEventKind, EntryEventOf } from '../events.js';
import { recordServerUnreached } from '../servers/serviceReach.js';
import type { EntryState, ForwardRecord } from '../state.js';
import { getRequestLogFields } from './requestCompletion.js';

/** Records that a server refuses connections directly after its answer: it is down, or this VM is cut off from it. */
function recordRefusal(state: EntryState, record: ForwardRecord, nowMs: number): EntryCommand[] {
  const backend = state.backends.get(record.backendId ?? '');
  if (backend === undefined) {
    return [];
  }
  record.hasLostServer = true;
  return recordServerUnreached(state, backend, nowMs);
}

/** Counts an end, and logs it: as a warning if the answer counts as broken off. */
export function handleUnframedAnswerEnded(
  state: EntryState,
  { attempt, evidence, requestId }: EntryEventOf<typeof EntryEventKind.UnframedAnswerEnded>,
  nowMs: number,
): EntryCommand[] {
  state.unframedEnds.set(evidence, (state.unframedEnds.get(evidence) ?? 0) + 1);
  const record = state.requests.get(requestId);
  if (record?.attempt !== attempt) {
    return [];
  }
  const level = SIGNS_OF_LIFE.has(evidence) ? LogLevel.Debug : LogLevel.Warn;
  const text = 'An answer without a length has ended.';
  const fields = { ...getRequestLogFields(record, nowMs), evidence };
  const refusal = evidence === LifeEvidence.Refused ? recordRefusal(state, record, nowMs) : [];
  return [createEntryLog(level, EntryLogPrefix.Request, text, fields), ...refusal];
}
