/**
 * Counts and logs the ends of answers without a length, with what was found of their servers.
 */
import { SIGNS_OF_LIFE } from '../../../state/entry/serverLife.js';
import { LogLevel } from '../../events.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix } from '../commands.js';
import type { EntryEventKind, EntryEventOf } from '../events.js';
import type { EntryState } from '../state.js';
import { getRequestLogFields } from './requestCompletion.js';

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
  return [createEntryLog(level, EntryLogPrefix.Request, text, fields)];
}
