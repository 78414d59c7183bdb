/**
 * The report on service-level burn over all VMs: this VM asks every live peer for its measures.
 */
import { Effect } from 'effect';
import { type BurnReport, createBurnReport, type Measures } from '../protocol/burnMessages.js';
import type { Configuration } from '../state/configuration.js';
import type { Objective } from '../state/types.js';
import { mergePercentile, type Metrics } from './metrics.js';
import type { PeerClient } from './peers.js';

const CONCURRENT_CALLS = 32;

/** A live peer that is asked. */
export interface MeasuredPeer {
  readonly vmId: string;
  readonly peerAddress: string;
}

/** What the report is made with. */
export interface BurnContext {
  readonly peers: PeerClient;
  readonly metrics: Metrics;
  readonly getNowMs: () => number;
  readonly getConfiguration: () => Configuration | null;
  readonly findPeers: () => readonly MeasuredPeer[];
}

function getObjectives(configuration: Configuration | null): ReadonlyMap<string, Objective> {
  const workspaces = configuration?.document.workspaces.workspaces ?? [];
  return new Map(
    workspaces.flatMap(({ name, objective }) =>
      objective === undefined ? [] : [[name, objective] as const],
    ),
  );
}

interface PeerMeasures {
  readonly vmId: string;
  /** Null if the peer did not answer. */
  readonly measures: Measures | null;
}

/** Asks every live peer and merges what they say. A peer that does not answer is named. */
export function collectBurnReport(context: BurnContext): Effect.Effect<BurnReport> {
  const { findPeers, getConfiguration, getNowMs, metrics, peers } = context;
  const ask = ({ peerAddress, vmId }: MeasuredPeer): Effect.Effect<PeerMeasures> =>
    Effect.match(peers.fetchMeasures(peerAddress), {
      onFailure: () => ({ vmId, measures: null }),
      onSuccess: (measures) => ({ vmId, measures }),
    });
  return Effect.map(
    Effect.forEach(findPeers(), ask, { concurrency: CONCURRENT_CALLS }),
    (answers) => {
      const heard = answers.flatMap(({ measures }) => (measures === null ? [] : [measures]));
      const silent = answers.filter(({ measures }) => measures === null).map(({ vmId }) => vmId);
      const all = [metrics.getMeasures(getNowMs()), ...heard];
      return createBurnReport(all, silent, getObjectives(getConfiguration()), mergePercentile);
    },
  );
}
