/**
 * Exchanges with the other VMs what was learned of backend servers: crashes and their suspects, healthy causes,
 * quarantines, request limits, and which are leaving or brittle. Times in messages are relative to the time of sending.
 */
import {
  createEvidenceReport,
  type EvidenceReport,
  shiftEvidenceReport,
} from '../../../state/entry/evidenceReports.js';
import type { EntryCommand } from '../commands.js';
import { listBrittle, mergeBrittle } from '../servers/brittleServers.js';
import { listLeaving, mergeLeaving } from '../servers/leavingServers.js';
import { mergeCrashEvidence } from '../evidence/quarantines.js';
import { listLimits, mergeLimits } from '../limits/serverLimits.js';
import type { EntryState } from '../state.js';

/** Returns the evidence to send to a peer, with times relative to now. */
export function createRelativeEvidence(state: EntryState, nowMs: number): EvidenceReport {
  const servers = {
    limits: listLimits(state),
    leaving: listLeaving(state),
    brittle: listBrittle(state, nowMs),
  };
  const evidence = createEvidenceReport(state.crashEvidence, servers, nowMs);
  return shiftEvidenceReport(evidence, -nowMs);
}

/** Merges evidence of another VM, whose times are relative to now. */
export function mergeEvidence(
  state: EntryState,
  report: EvidenceReport,
  nowMs: number,
): EntryCommand[] {
  const evidence = shiftEvidenceReport(report, nowMs);
  return [
    ...mergeCrashEvidence(state, evidence, nowMs),
    ...mergeLimits(state, evidence.limits, nowMs),
    ...mergeLeaving(state, evidence.leaving),
    ...mergeBrittle(state, evidence.brittle, nowMs),
  ];
}
