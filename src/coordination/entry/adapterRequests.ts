/**
 * Requests to the controller to load an adapter that a waiting request needs and that no engine holds.
 */
import { findResident, getVariantKey } from '../../state/entry/backends.js';
import { type EntryCommand, EntryCommandKind } from './commands.js';
import { isOpenBackend } from './selection.js';
import type { EntryState, ForwardRecord } from './state.js';

/** Minimum time between two requests for the same adapter. It covers the load order, the load and the answer. */
const MIN_REQUEST_INTERVAL_MS = 250;

function isBaseModelLoaded(state: EntryState, service: string, model: string): boolean {
  return [...state.backends.values()].some(
    (backend) =>
      backend.entry.service === service &&
      isOpenBackend(backend) &&
      findResident(backend.entry, model) !== undefined,
  );
}

/**
 * Asks the controller to load the adapter of a waiting request, if an engine holds the base model and the adapter was
 * not requested recently.
 */
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
  const requestedAtMs = state.askedAdapters.get(key) ?? Number.NEGATIVE_INFINITY;
  if (
    nowMs - requestedAtMs < MIN_REQUEST_INTERVAL_MS ||
    !isBaseModelLoaded(state, service, model)
  ) {
    return [];
  }
  state.askedAdapters.set(key, nowMs);
  const { failureDomain } = state.self;
  const { peerAddress } = controller;
  return [
    { kind: EntryCommandKind.AskAdapter, peerAddress, service, model, adapter, failureDomain },
  ];
}
