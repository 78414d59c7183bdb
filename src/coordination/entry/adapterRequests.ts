/**
 * Adapters on demand: a request whose adapter no engine holds asks the controller for it.
 */
import { findResident, getVariantKey } from '../../state/entry/backends.js';
import { type EntryCommand, EntryCommandKind } from './commands.js';
import { isOpenBackend } from './selection.js';
import type { EntryState, ForwardRecord } from './state.js';

/** The controller is not asked for the same adapter again before this: an order, its load, the answer. */
const ASK_AGAIN_MS = 250;

function isBaseResident(state: EntryState, service: string, model: string): boolean {
  return [...state.backends.values()].some(
    (backend) =>
      backend.entry.service === service &&
      isOpenBackend(backend) &&
      findResident(backend.entry, model) !== undefined,
  );
}

/** Asks the controller for the adapter of a request, if its model is there and it was not asked lately. */
export function askForAdapter(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] {
  const { adapter, model } = record.request;
  const { controller } = state;
  if (adapter === null || model === null || controller === null) {
    return [];
  }
  const service = record.service.name;
  const key = `${service} ${getVariantKey(model, adapter)}`;
  const askedAtMs = state.askedAdapters.get(key) ?? Number.NEGATIVE_INFINITY;
  if (nowMs - askedAtMs < ASK_AGAIN_MS || !isBaseResident(state, service, model)) {
    return [];
  }
  state.askedAdapters.set(key, nowMs);
  const { failureDomain } = state.self;
  const { peerAddress } = controller;
  return [
    { kind: EntryCommandKind.AskAdapter, peerAddress, service, model, adapter, failureDomain },
  ];
}
