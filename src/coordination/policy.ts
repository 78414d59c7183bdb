/**
 * The limits that decisions work with. The daemon sets some of them from its settings; tests set any.
 */

import type { WeightStore } from '../state/types.js';

export interface Policy {
  readonly gossipIntervalMs: number;
  /** Peers that each gossip round is sent to. */
  readonly gossipFanout: number;
  /** Peers that a new revision is told at once. */
  readonly pushFanout: number;
  /** Members that one gossip message carries at most. */
  readonly gossipMaxMembers: number;
  /** A member unheard for this time is not asked for anything. */
  readonly memberStaleMs: number;
  /** A member unheard for this time is not asked for tokens; one that is dead only costs a wait. */
  readonly lenderStaleMs: number;
  /** A member unheard for this time, and off the platform's list as long, is gone. */
  readonly memberGoneMs: number;
  /** A VM that has heard neither the store nor its failure domain for this time spends no tokens. */
  readonly isolationMs: number;
  readonly shareReadIntervalMs: number;
  /** A fresh process first hears of others for this time before it writes the share table. */
  readonly shareSettleMs: number;
  /** Longest wait after the first lost swap; doubled by each further one. */
  readonly shareBackoffMs: number;
  readonly shareMaxBackoffMs: number;
  /** How long a VM leaves a change of the share table to each VM before it. */
  readonly shareRankDelayMs: number;
  readonly loadPollIntervalMs: number;
  /** Engines that one round asks at most. */
  readonly maxPollsInRound: number;
  /** Reports lag by less than this. */
  readonly reportLagMs: number;
  /** An engine whose last report is older gets no new orders. */
  readonly reportStaleMs: number;
  readonly controllerTickMs: number;
  readonly controllerLeaseMs: number;
  readonly controllerRenewMs: number;
  /** How often the first VM of a failure domain tries for a free lease. */
  readonly controllerTryMs: number;
  readonly orderRetryMs: number;
  /** Used when the document says nothing of the weight store. */
  readonly weightStore: WeightStore;
  /** A server that failed is avoided for this time, unless no other is left. */
  readonly serverPenaltyMs: number;
  /** Attempts of one request, the first included. */
  readonly maxAttempts: number;
  /** Retries allowed for each first attempt, over time. */
  readonly retryRatio: number;
  /** Retries that may be saved up. */
  readonly retryBurst: number;
  readonly maxBorrowRounds: number;
  /** How long a request waits for its workspace's rate to refill what it lacks. */
  readonly maxTokenWaitMs: number;
  readonly maxBorrowFanout: number;
  /** From "not ready" to the first refusal of a stopping VM. */
  readonly unreadyMs: number;
  /** Time for open requests to end in a planned stop. */
  readonly drainTimeoutMs: number;
  readonly stopPollMs: number;
  /** Load over the mean that prefix affinity accepts before another server is taken. */
  readonly affinityLoadFactor: number;
}

export const DEFAULT_POLICY: Policy = {
  gossipIntervalMs: 1_000,
  gossipFanout: 2,
  pushFanout: 8,
  gossipMaxMembers: 20,
  memberStaleMs: 8_000,
  lenderStaleMs: 20_000,
  memberGoneMs: 60_000,
  isolationMs: 15_000,
  shareReadIntervalMs: 10_000,
  shareSettleMs: 1_000,
  shareBackoffMs: 100,
  shareMaxBackoffMs: 10_000,
  shareRankDelayMs: 1_500,
  loadPollIntervalMs: 1_000,
  maxPollsInRound: 16,
  reportLagMs: 15_000,
  reportStaleMs: 60_000,
  controllerTickMs: 500,
  controllerLeaseMs: 10_000,
  controllerRenewMs: 2_500,
  controllerTryMs: 2_000,
  orderRetryMs: 1_000,
  weightStore: { loadsPerSecond: 1.5, loadsAtOnce: 9 },
  serverPenaltyMs: 2_000,
  maxAttempts: 3,
  retryRatio: 0.2,
  retryBurst: 20,
  maxBorrowRounds: 8,
  maxTokenWaitMs: 600,
  maxBorrowFanout: 16,
  unreadyMs: 2_000,
  drainTimeoutMs: 150_000,
  stopPollMs: 50,
  affinityLoadFactor: 1.25,
};
