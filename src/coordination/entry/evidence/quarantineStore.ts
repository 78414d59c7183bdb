/**
 * Keeps the quarantines in the store, so that they outlast a restart of all VMs. The controller writes them; every VM
 * reads them. An operator lifts a quarantine by releasing it there.
 */
import {
  createRelativeQuarantines,
  shiftQuarantine,
} from '../../../state/entry/evidenceReports.js';
import { getQuarantineKey, isLaterQuarantine } from '../../../state/entry/quarantineTable.js';
import { type EntryCommand, EntryCommandKind } from '../commands.js';
import type { EntryEventKind, EntryEventOf } from '../events.js';
import { mergeCrashEvidence } from './quarantines.js';
import type { EntryState } from '../state.js';

/** Time within which the watch shows what was written; after it, the write is taken as failed. */
const WRITE_INTERVAL_MS = 1_000;

/** Merges the quarantines in the store with those of this VM. */
export function handleQuarantinesRead(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.QuarantinesRead>,
  nowMs: number,
): EntryCommand[] {
  const { quarantines, version } = event;
  state.storedQuarantines = new Map(quarantines.map((item) => [getQuarantineKey(item), item]));
  state.storedQuarantinesVersion = version;
  const shifted = quarantines.map((quarantine) => shiftQuarantine(quarantine, nowMs));
  return mergeCrashEvidence(state, { crashes: [], healthyCauses: [], quarantines: shifted }, nowMs);
}

/** Writes the quarantines to the store if this VM is the controller and the store lacks some of them. */
export function storeQuarantines(state: EntryState, nowMs: number): EntryCommand[] {
  const { placement, crashEvidence, storedQuarantines } = state;
  const isWriteDue = nowMs - state.quarantinesWrittenAtMs >= WRITE_INTERVAL_MS;
  const isChanged = [...crashEvidence.quarantines.entries()].some(([key, quarantine]) =>
    isLaterQuarantine(quarantine, storedQuarantines.get(key)),
  );
  if (placement.fence === null || !isWriteDue || !isChanged) {
    return [];
  }
  state.quarantinesWrittenAtMs = nowMs;
  const kind = EntryCommandKind.StoreQuarantines;
  const quarantines = createRelativeQuarantines(crashEvidence, nowMs);
  return [{ kind, quarantines, expectedVersion: state.storedQuarantinesVersion }];
}
