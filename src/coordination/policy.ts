/**
 * Defines the limits, intervals and timeouts that decisions use. The daemon takes some of them from its
 * settings; tests override any of them.
 */

import type { WeightStore } from '../state/types.js';

export interface Policy {
  readonly gossipIntervalMs: number;
  /** Number of peers to which each gossip round is sent. */
  readonly gossipFanout: number;
  /** Number of peers to which a new configuration revision is sent immediately. */
  readonly pushFanout: number;
  /** Maximum number of members in one gossip message. */
  readonly gossipMaxMembers: number;
  /** A member not heard from for this time no longer counts as live. */
  readonly memberStaleMs: number;
  /**
   * A member not heard from for this time is not asked to lend tokens. Asking one that is dead only costs a
   * wait.
   */
  readonly lenderStaleMs: number;
  /** A member counts as gone if it has been neither heard from nor on the platform's list for this time. */
  readonly memberGoneMs: number;
  /** A VM that has received nothing from the store or its failure domain for this time spends no tokens. */
  readonly isolationTimeoutMs: number;
  readonly shareReadIntervalMs: number;
  /** A new process receives gossip for this time before it first writes the share table. */
  readonly shareStartupDelayMs: number;
  /** Maximum random backoff after the first failed compare-and-swap; doubled after each consecutive failure. */
  readonly shareBackoffMs: number;
  readonly shareMaxBackoffMs: number;
  /** Delay before a VM changes the share table, for each VM of its failure domain with a lower id. */
  readonly shareRankDelayMs: number;
  readonly loadPollIntervalMs: number;
  /** Maximum number of engines that are polled in one round. */
  readonly maxPollsPerRound: number;
  /** Load reports lag behind the state of the engine by less than this. */
  readonly maxReportLagMs: number;
  /** An engine whose last load report is older than this gets no new orders. */
  readonly reportStaleMs: number;
  readonly controllerTickMs: number;
  readonly controllerLeaseMs: number;
  readonly controllerRenewIntervalMs: number;
  /** Interval at which the VM with the lowest id in a failure domain tries to acquire a free lease. */
  readonly controllerAcquireIntervalMs: number;
  readonly orderRetryMs: number;
  /** Limits of the weight store if the configuration document does not set them. */
  readonly weightStore: WeightStore;
  /** A server that failed is avoided for this time, unless no other server is left. */
  readonly serverPenaltyMs: number;
  /** Maximum number of attempts for one request, including the first. */
  readonly maxAttempts: number;
  /** Retry tokens that each first attempt adds to the token bucket of retries. */
  readonly retryRatio: number;
  /** Capacity of the token bucket of retries. */
  readonly retryBurst: number;
  readonly maxBorrowRounds: number;
  /** Longest time for which a request waits until its workspace's rate refills the tokens that it lacks. */
  readonly maxTokenWaitMs: number;
  readonly maxBorrowFanout: number;
  /** Time between the moment when a stopping VM reports "not ready" and its first refusal of a request. */
  readonly unreadyMs: number;
  /** Time allowed for open requests to complete in a graceful shutdown. */
  readonly drainTimeoutMs: number;
  readonly stopCheckIntervalMs: number;
  /** Load of a preferred server, as a multiple of the mean, up to which prefix affinity selects it. */
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
  isolationTimeoutMs: 15_000,
  shareReadIntervalMs: 10_000,
  shareStartupDelayMs: 1_000,
  shareBackoffMs: 100,
  shareMaxBackoffMs: 10_000,
  shareRankDelayMs: 1_500,
  loadPollIntervalMs: 1_000,
  maxPollsPerRound: 16,
  maxReportLagMs: 15_000,
  reportStaleMs: 60_000,
  controllerTickMs: 500,
  controllerLeaseMs: 10_000,
  controllerRenewIntervalMs: 2_500,
  controllerAcquireIntervalMs: 2_000,
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
  stopCheckIntervalMs: 50,
  affinityLoadFactor: 1.25,
};
