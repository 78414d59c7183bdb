/**
 * Handles the controller's answers to this VM's adapter requests.
 */
import { getVariantKey } from '../../../state/entry/backends.js';
import type { EntryCommand } from '../commands.js';
import type { EntryEventKind, EntryEventOf } from '../events.js';
import { dispatchWaiting } from '../requests/dispatchOrder.js';
import type { EntryState } from '../state.js';

/** Records that the controller reports an adapter as loaded, and dispatches waiting requests. */
export function handleAdapterRequestAnswered(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.AdapterRequestAnswered>,
  nowMs: number,
): EntryCommand[] {
  const { adapter, backendId, model } = event;
  const backend = backendId === null ? undefined : state.backends.get(backendId);
  if (backend === undefined) {
    return [];
  }
  const key = getVariantKey(model, adapter);
  backend.controllerAdapters.add(key);
  backend.missingUntilMs.delete(key);
  return dispatchWaiting(state, nowMs);
}
