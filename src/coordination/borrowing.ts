/**
 * Plans loans of tokens from peers, for requests that are within their workspace's rate but that this
 * VM's own slice does not cover, and records how many tokens the peers have left.
 */
import { TOTAL_SHARE_UNITS } from '../state/shareTable.js';
import type { Member, Workspace } from '../state/types.js';
import { nextRandomInt } from '../state/random.js';
import { type Command, CommandKind, type EventKind, type EventOf } from './events.js';
import type { LenderRecord, VmState } from './vmState.js';

/** Estimated level, as a fraction of the capacity, of a peer that has not reported its level yet. */
const DEFAULT_LEVEL_FRACTION = 0.5;
/** A lender may be asked for this multiple of its estimated tokens, since estimates are rough. */
const ESTIMATE_MARGIN_FACTOR = 1.2;
/** Fraction of a lender's surplus that is borrowed to rebalance the slices. */
const REBALANCING_FRACTION = 0.5;
/** Weight of a lender in this VM's failure domain, relative to lenders elsewhere. */
const LOCAL_LENDER_WEIGHT = 1.5;
const DEFAULT_SPEND_MS = 150;
const MIN_SPEND_MS = 20;
const MAX_SPEND_MS = 400;
const ROUND_TRIPS_TO_SPEND = 5;
const MS_PER_SECOND = 1000;

/** A peer to borrow from, and the number of tokens to request. */
export interface LoanPlan {
  readonly member: Member;
  readonly tokens: number;
}

/** A peer and the number of tokens that it is estimated to have. */
export interface Lender {
  readonly member: Member;
  readonly estimatedTokens: number;
  readonly isLocal: boolean;
}

/** Estimates how many of a workspace's tokens a peer has now. */
export function estimatePeerTokens(
  shareUnits: number,
  workspace: Workspace,
  record: LenderRecord | undefined,
  nowMs: number,
): number {
  const shareFraction = shareUnits / TOTAL_SHARE_UNITS;
  const capacityTokens = workspace.burstTokens * shareFraction;
  if (record === undefined) {
    return capacityTokens * DEFAULT_LEVEL_FRACTION;
  }
  const elapsedMs = Math.max(0, nowMs - record.recordedAtMs);
  const refilledTokens =
    (workspace.rateTokensPerSecond * shareFraction * elapsedMs) / MS_PER_SECOND;
  return Math.min(capacityTokens, record.leftTokens + refilledTokens);
}

/** Shuffles a list in place, so that VMs do not all ask the same peers first. */
function shuffle<T>(state: VmState, items: T[]): T[] {
  for (let i = items.length - 1; i > 0; i -= 1) {
    const j = nextRandomInt(state.random, i + 1);
    [items[i], items[j]] = [items[j]!, items[i]!];
  }
  return items;
}

/**
 * Returns the share units of a peer, preferably from the share table: it lists every VM, whereas gossip
 * about VMs in other failure domains arrives later.
 */
function getShareUnits(state: VmState, member: Member): number {
  return state.share.unitsByVmId.get(member.vmId) ?? member.shareUnits;
}

/** Returns the peers that are estimated to have tokens of a workspace, in random order. */
export function findLenders(state: VmState, workspace: Workspace, nowMs: number): Lender[] {
  const records = state.lenders.get(workspace.name);
  const lenders = [...state.members.values()]
    .filter(
      ({ heartbeatReceivedAtMs }) => nowMs - heartbeatReceivedAtMs < state.policy.lenderStaleMs,
    )
    .map(({ member }) => ({
      member,
      estimatedTokens: estimatePeerTokens(
        getShareUnits(state, member),
        workspace,
        records?.get(member.vmId),
        nowMs,
      ),
      isLocal: member.failureDomain === state.self.failureDomain,
    }))
    .filter((lender) => lender.estimatedTokens >= 1);
  return shuffle(state, lenders);
}

function getWeightedTokens(lender: Lender): number {
  return lender.estimatedTokens * (lender.isLocal ? LOCAL_LENDER_WEIGHT : 1);
}

/**
 * Plans the loans that cover `neededTokens`. Each lender is asked for some of the needed tokens and, as
 * far as they fit into this VM's slice, for half of its remaining tokens. The latter rebalances the
 * slices, since a full slice loses its refill.
 */
export function planLoans(
  state: VmState,
  workspace: Workspace,
  neededTokens: number,
  headroomTokens: number,
  nowMs: number,
): LoanPlan[] {
  const plans: LoanPlan[] = [];
  let remainingTokens = neededTokens;
  let remainingHeadroomTokens = headroomTokens;
  const lenders = findLenders(state, workspace, nowMs).toSorted(
    (a, b) => getWeightedTokens(b) - getWeightedTokens(a),
  );
  for (const { estimatedTokens, member } of lenders.slice(0, state.policy.maxBorrowFanout)) {
    if (remainingTokens <= 0) {
      break;
    }
    const coveredTokens = Math.min(
      remainingTokens,
      Math.ceil(estimatedTokens * ESTIMATE_MARGIN_FACTOR),
    );
    const spareTokens = Math.floor((estimatedTokens - coveredTokens) * REBALANCING_FRACTION);
    const rebalancingTokens = Math.max(0, Math.min(remainingHeadroomTokens, spareTokens));
    plans.push({ member, tokens: coveredTokens + rebalancingTokens });
    remainingTokens -= coveredTokens;
    remainingHeadroomTokens -= rebalancingTokens;
  }
  return plans;
}

/**
 * Returns the time within which a loan has to be spent, from the peer's round-trip time: the shorter it
 * is, the sooner the loan stops counting against the lender's capacity.
 */
function getSpendWithinMs(record: LenderRecord | undefined): number {
  if (record === undefined || record.roundTripMs === null) {
    return DEFAULT_SPEND_MS;
  }
  const spendMs = record.roundTripMs * ROUND_TRIPS_TO_SPEND;
  return Math.min(MAX_SPEND_MS, Math.max(MIN_SPEND_MS, spendMs));
}

/** Creates the commands that request the planned loans. */
export function createBorrowCommands(
  state: VmState,
  requestId: string | null,
  workspace: Workspace,
  plans: readonly LoanPlan[],
  nowMs: number,
): Command[] {
  const records = state.lenders.get(workspace.name);
  return plans.map(({ member, tokens }) => ({
    kind: CommandKind.RequestLoan,
    requestId,
    peerVmId: member.vmId,
    peerAddress: member.peerAddress,
    workspace: workspace.name,
    tokens,
    askedAtMs: nowMs,
    spendWithinMs: getSpendWithinMs(records?.get(member.vmId)),
  }));
}

/** Records how many tokens a peer reported to have left; zero for a peer that did not answer. */
export function recordLenderTokens(
  state: VmState,
  answer: EventOf<typeof EventKind.LoanAnswered>,
  nowMs: number,
): void {
  const { askedAtMs, leftTokens, peerVmId, workspace } = answer;
  const records = state.lenders.get(workspace) ?? new Map<string, LenderRecord>();
  const roundTripMs = leftTokens === null ? null : nowMs - askedAtMs;
  records.set(peerVmId, { leftTokens: leftTokens ?? 0, recordedAtMs: nowMs, roundTripMs });
  state.lenders.set(workspace, records);
}

/** Returns whether no lender with tokens of a workspace was found a moment ago. */
export function isFleetShortOfTokens(state: VmState, workspace: Workspace, nowMs: number): boolean {
  return (state.fleetShortUntilMs.get(workspace.name) ?? 0) > nowMs;
}

/** Returns how long the whole rate of a workspace takes to refill a number of tokens. */
export function getRefillMs(workspace: Workspace, tokens: number): number {
  return Math.ceil((tokens * MS_PER_SECOND) / workspace.rateTokensPerSecond);
}
