/**
 * Counts and logs the streams that their servers have spoiled.
 */
import { LogLevel } from '../../events.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix } from '../commands.js';
import type { EntryEventKind, EntryEventOf } from '../events.js';
import type { EntryState } from '../state.js';
import { getRequestLogFields } from './requestCompletion.js';

/** Counts a spoiled stream, and logs the server, the reason and the number of the last event before it. */
export function handleStreamSpoiled(
  state: EntryState,
  { afterId, attempt, reason, requestId }: EntryEventOf<typeof EntryEventKind.StreamSpoiled>,
  nowMs: number,
): EntryCommand[] {
  state.spoiledStreams.set(reason, (state.spoiledStreams.get(reason) ?? 0) + 1);
  const record = state.requests.get(requestId);
  if (record?.attempt !== attempt) {
    return [];
  }
  const text = 'A backend server has spoiled a stream.';
  const fields = { ...getRequestLogFields(record, nowMs), reason, afterEvent: afterId ?? '' };
  return [createEntryLog(LogLevel.Warn, EntryLogPrefix.Request, text, fields)];
}
