/**
 * Applies configuration revisions. The revision applied on a VM never decreases, whatever its source.
 */
import { createConfiguration } from '../state/configuration.js';
import { Diagnostics, hasDiagnosticCode } from '../state/diagnostics.js';
import {
  type Command,
  createLog,
  type EventKind,
  type EventOf,
  LogLevel,
  LogPrefix,
} from './events.js';
import { pushRevision } from './gossip.js';
import type { VmState } from './vmState.js';
import { pollUnpolledEngines, updateReadiness } from './serverHandlers.js';
import { applyOwnEntry, readShares } from './shareHandlers.js';
import { resizeSlices } from './slices.js';

function refuseStale(revision: number, inForce: number): Command[] {
  const fields = { revision, inForce };
  return [
    createLog(
      LogLevel.Error,
      LogPrefix.Configuration,
      'Rejected a configuration that is older than the local copy.',
      fields,
    ),
  ];
}

/** Applies a newer revision. An older one is rejected and logged as an error. */
export function handleConfigurationReceived(
  state: VmState,
  event: EventOf<typeof EventKind.ConfigurationReceived>,
  nowMs: number,
): Command[] {
  const { document, head } = event;
  const inForce = state.configuration?.head.revision ?? 0;
  if (head.revision === inForce) {
    return [];
  }
  if (head.revision < inForce) {
    return refuseStale(head.revision, inForce);
  }
  state.configuration = createConfiguration(head, document);
  resizeSlices(state, nowMs);
  applyOwnEntry(state, nowMs);
  const fields = { revision: head.revision };
  return [
    createLog(
      LogLevel.Info,
      LogPrefix.Configuration,
      'A configuration revision was applied.',
      fields,
    ),
    ...pushRevision(state),
    ...readShares(state),
    ...pollUnpolledEngines(state),
    ...updateReadiness(state),
  ];
}

/** Logs a revision that could not be read. The revision applied before stays in effect. */
export function handleConfigurationRejected(
  state: VmState,
  event: EventOf<typeof EventKind.ConfigurationRejected>,
): Command[] {
  const { diagnostic, revision } = event;
  if (hasDiagnosticCode(diagnostic, Diagnostics.StaleHead)) {
    return refuseStale(revision, state.configuration?.head.revision ?? 0);
  }
  const fields = { revision, failure: diagnostic.key, detail: diagnostic.message };
  return [
    createLog(
      LogLevel.Error,
      LogPrefix.Configuration,
      'Could not read a configuration revision.',
      fields,
    ),
  ];
}
