/**
 * Creates the fleet-wide report on error budget burn rates from the measures of this VM and of every
 * live peer.
 */
import { Effect } from 'effect';
import { type BurnReport, createBurnReport, type Measures } from '../protocol/burnMessages.js';
import type { Configuration } from '../state/configuration.js';
import type { Objective } from '../state/types.js';
import { getMergedP95, type Metrics } from './metrics.js';
import type { PeerClient } from './peers.js';

const MAX_CONCURRENT_CALLS = 32;

/** A live peer whose measures are fetched. */
export interface LivePeer {
  readonly vmId: string;
  readonly peerAddress: string;
}

/** The dependencies of the burn report. */
export interface BurnContext {
  readonly peers: PeerClient;
  readonly metrics: Metrics;
  readonly getNowMs: () => number;
  readonly getConfiguration: () => Configuration | null;
  readonly findLivePeers: () => readonly LivePeer[];
}

function getObjectives(configuration: Configuration | null): ReadonlyMap<string, Objective> {
  const workspaces = configuration?.document.workspaces.workspaces ?? [];
  return new Map(
    workspaces.flatMap(({ name, objective }) =>
      objective === undefined ? [] : [[name, objective] as const],
    ),
  );
}

interface PeerResult {
  readonly vmId: string;
  /** Null if the peer did not respond. */
  readonly measures: Measures | null;
}

/** Merges the measures of this VM and of every live peer; lists the peers that did not respond. */
export function collectBurnReport(context: BurnContext): Effect.Effect<BurnReport> {
  const { findLivePeers, getConfiguration, getNowMs, metrics, peers } = context;
  const fetchFromPeer = ({ peerAddress, vmId }: LivePeer): Effect.Effect<PeerResult> =>
    Effect.match(peers.fetchMeasures(peerAddress), {
      onFailure: () => ({ vmId, measures: null }),
      onSuccess: (measures) => ({ vmId, measures }),
    });
  return Effect.map(
    Effect.forEach(findLivePeers(), fetchFromPeer, { concurrency: MAX_CONCURRENT_CALLS }),
    (results) => {
      const receivedMeasures = results.flatMap(({ measures }) =>
        measures === null ? [] : [measures],
      );
      const unresponsiveVmIds = results
        .filter(({ measures }) => measures === null)
        .map(({ vmId }) => vmId);
      const allMeasures = [metrics.getMeasures(getNowMs()), ...receivedMeasures];
      return createBurnReport(
        allMeasures,
        unresponsiveVmIds,
        getObjectives(getConfiguration()),
        getMergedP95,
      );
    },
  );
}
