/**
 * Counts the calls of an entry VM to other VMs by purpose. Calls cost most of the processor time that a VM spends on control.
 */
import { PeerCallPurpose } from '../../../coordination/entry/exchange/peerCallPurpose.js';

const METRIC_NAME = 'gentiandeck_peer_calls_total';

/** Counts of calls since the start, by purpose. */
export interface PeerCallCounter {
  readonly add: (purpose: PeerCallPurpose) => void;
  /** Returns the count of each purpose. */
  readonly getCounts: () => readonly (readonly [PeerCallPurpose, number])[];
  /** Formats the counts in the Prometheus text format. */
  readonly formatPrometheus: () => string;
}

/** Creates a counter of no calls. */
export function createPeerCallCounter(): PeerCallCounter {
  const counts = new Map<PeerCallPurpose, number>();
  const getCounts: PeerCallCounter['getCounts'] = () =>
    Object.values(PeerCallPurpose).map((purpose) => [purpose, counts.get(purpose) ?? 0]);
  return {
    getCounts,
    add: (purpose) => {
      counts.set(purpose, (counts.get(purpose) ?? 0) + 1);
    },
    formatPrometheus: () => {
      const lines = getCounts().map(
        ([purpose, count]) => `${METRIC_NAME}{purpose="${purpose}"} ${count}\n`,
      );
      return `# TYPE ${METRIC_NAME} counter\n${lines.join('')}`;
    },
  };
}
