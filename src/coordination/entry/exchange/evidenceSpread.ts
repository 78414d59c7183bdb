/**
 * Sends what a VM has learned of backend servers to some peers at once, instead of with the next gossip round.
 */
import { createEntryTimer, type EntryCommand } from '../commands.js';
import { EntryEventKind } from '../events.js';
import type { EntryState } from '../state.js';

/** Delay before new evidence is sent on, so that one message has all that arrives together. */
const SPREAD_DELAY_MS = 20;

/** Starts the timer that sends new evidence to peers, unless it is running. */
export function spreadEvidence(state: EntryState): EntryCommand[] {
  if (state.isEvidenceSpreading) {
    return [];
  }
  state.isEvidenceSpreading = true;
  const kind = EntryEventKind.EvidenceSpread;
  return [createEntryTimer(kind, SPREAD_DELAY_MS, { kind })];
}

/** Changes the state without starting to send on what is learned by that. */
export function withoutSpreading<T>(state: EntryState, change: () => T): T {
  const { isEvidenceSpreading } = state;
  state.isEvidenceSpreading = true;
  const result = change();
  state.isEvidenceSpreading = isEvidenceSpreading;
  return result;
}
