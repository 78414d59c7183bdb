/**
 * Requests to the controller to load an adapter that a waiting request needs and that no engine holds.
 */
import { listOffering } from '../../../state/entry/backendLists.js';
import { getVariantKey } from '../../../state/entry/backends.js';
import { type EntryCommand, EntryCommandKind } from '../commands.js';
import { hasStreamVersion, isAcceptingRequests } from '../requests/backendSelection.js';
import type { EntryState, ForwardRecord } from '../state.js';

/** Minimum time between two requests for the same adapter. It covers the load order, the load and the answer. */
const MIN_REQUEST_INTERVAL_MS = 250;

/** Returns whether an engine that may run a request holds its base model. */
function isBaseModelLoaded(state: EntryState, record: ForwardRecord, model: string): boolean {
  const { backendLists, backends } = state;
  return listOffering(backendLists, backends, record.service.name, model).some(
    (backend) => isAcceptingRequests(backend) && hasStreamVersion(record, backend),
  );
}

/**
 * Asks the controller to load the adapter of a waiting request, if an engine holds the base model and the adapter was
 * not requested recently.
 */
export function requestAdapter(
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
  const softwareVersion = record.streamVersion;
  const key = `${service} ${getVariantKey(model, adapter)} ${softwareVersion ?? ''}`;
  const requestedAtMs = state.adapterRequestedAtMs.get(key) ?? Number.NEGATIVE_INFINITY;
  if (nowMs - requestedAtMs < MIN_REQUEST_INTERVAL_MS || !isBaseModelLoaded(state, record, model)) {
    return [];
  }
  state.adapterRequestedAtMs.set(key, nowMs);
  const { failureDomain } = state.self;
  const { peerAddress } = controller;
  const need = { service, model, adapter, failureDomain, softwareVersion };
  return [{ kind: EntryCommandKind.RequestAdapter, peerAddress, need }];
}
