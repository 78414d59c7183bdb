/**
 * Records on requests how far their answers have come.
 */
import { RunStatus } from '../../../state/types.js';
import type { EntryCommand } from '../commands.js';
import type { EntryState, ForwardRecord } from '../state.js';
import { recordStreamVersion } from './streamOriginWrites.js';

/** Updates the record of a request whose caller has received part of an answer. */
export function recordBegunAnswer(
  state: EntryState,
  record: ForwardRecord,
  lastEventAtMs: number | null,
  nowMs: number,
): EntryCommand[] {
  record.firstEventAtMs ??= nowMs;
  record.lastEventAtMs = lastEventAtMs ?? record.lastEventAtMs ?? nowMs;
  record.runStatus = RunStatus.Unknown;
  return recordStreamVersion(state, record, nowMs);
}
