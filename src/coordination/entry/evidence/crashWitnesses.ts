/**
 * Tells the crash of a server from a cut between this VM and all servers, in which sound servers seem to refuse connections. A crash counts
 * only once this VM has connected to another server since it lost its connections: its witness.
 */
import {
  getProcessKey,
  type LostConnections,
  WitnessStatus,
} from '../../../state/entry/crashEvidence.js';
import type { Backend } from '../../../state/entry/backends.js';
import { type EntryCommand, EntryCommandKind } from '../commands.js';
import { ProbeOutcome } from '../events.js';
import type { EntryState } from '../state.js';

/** Servers that are probed for one crash at the same time, of which one has to accept a connection. */
const MAX_WITNESSES = 5;

function getKey({ entry }: Backend): string {
  return getProcessKey(entry.id, entry.bornAtWallMs);
}

/** Returns the servers that may be a witness, the fittest first. */
function listWitnesses(state: EntryState, { entry: lost }: LostConnections): Backend[] {
  const { backends, crashEvidence, lostConnections } = state;
  const lostKey = getProcessKey(lost.id, lost.bornAtWallMs);
  const isFit = (backend: Backend): boolean => {
    const key = getKey(backend);
    const isExpectedUp = !backend.isLeaving && backend.removeAtMs === null;
    return isExpectedUp && key !== lostKey && !crashEvidence.crashes.has(key);
  };
  // A server that has lost no connections is more likely to run.
  const getRank = (backend: Backend): number =>
    (lostConnections.has(getKey(backend)) ? 2 : 0) +
    (backend.entry.service === lost.service ? 0 : 1);
  // From the server after the one that was lost on, so that not all crashes ask the same witness.
  const all = [...backends.values()];
  const first = all.findIndex(({ entry }) => entry.id === lost.id) + 1;
  const rotated = [...all.slice(first), ...all.slice(0, first)];
  return rotated.filter(isFit).sort((a, b) => getRank(a) - getRank(b));
}

/** Probes the servers that may be witnesses of a crash. Without any other server that is expected to run, none is needed. */
export function askWitnesses(state: EntryState, lost: LostConnections): EntryCommand[] {
  const { entry } = lost;
  const lostKey = getProcessKey(entry.id, entry.bornAtWallMs);
  const witnesses = listWitnesses(state, lost).slice(0, MAX_WITNESSES);
  if (witnesses.length === 0) {
    lost.witness = WitnessStatus.Found;
  }
  return witnesses.map((witness) => {
    // Another probe may ask whether the witness itself has crashed.
    const processKey = `${getKey(witness)} for ${lostKey}`;
    lost.askedKeys.add(processKey);
    return { kind: EntryCommandKind.ProbeBackend, address: witness.entry.address, processKey };
  });
}

/** Records what the probe of a witness has found. */
export function recordWitnessProbe(
  { lostConnections }: EntryState,
  probeKey: string,
  outcome: ProbeOutcome,
): void {
  const lost = [...lostConnections.values()].find(({ askedKeys }) => askedKeys.delete(probeKey));
  if (lost === undefined || lost.witness !== WitnessStatus.Asked) {
    return;
  }
  if (outcome === ProbeOutcome.Accepting) {
    lost.witness = WitnessStatus.Found;
  } else if (lost.askedKeys.size === 0) {
    lost.witness = WitnessStatus.None;
  }
}
