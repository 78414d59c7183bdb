/**
 * Borrowing tokens from peers for a request that is within its workspace's rate while this VM's own
 * slice is short, and lending to peers.
 */
import { TOTAL_SHARE_UNITS } from '../state/shareTable.js';
import type { Member, Workspace } from '../state/types.js';
import { nextRandomInt } from '../state/random.js';
import { type Command, CommandKind, type EventKind, type EventOf } from './events.js';
import type { LenderRecord, NodeState } from './nodeState.js';

/** Part of a slice that is expected of a peer that has not told its level yet. */
const UNKNOWN_LEVEL = 0.5;
/** What is asked for over the need, since expectations are rough. */
const EXPECTATION_MARGIN = 1.2;
/** Part of a lender's surplus that is borrowed to even out the slices. */
const EVENING_PART = 0.5;
/** How much more a lender of the own failure domain is liked. */
const LOCAL_APPEAL = 1.5;
const UNKNOWN_SPEND_MS = 150;
const MIN_SPEND_MS = 20;
const MAX_SPEND_MS = 400;
const ROUND_TRIPS_TO_SPEND = 5;
const MS_PER_SECOND = 1000;

/** A peer to ask, and for how many tokens. */
export interface LoanPlan {
  readonly member: Member;
  readonly tokens: number;
}

/** A peer with what it is expected to have. */
export interface Lender {
  readonly member: Member;
  readonly expectedTokens: number;
  readonly isLocal: boolean;
}

/** Estimates what a peer has of a workspace's tokens now. */
export function estimatePeerTokens(
  shareUnits: number,
  workspace: Workspace,
  record: LenderRecord | undefined,
  nowMs: number,
): number {
  const part = shareUnits / TOTAL_SHARE_UNITS;
  const capacityTokens = workspace.burstTokens * part;
  if (record === undefined) {
    return capacityTokens * UNKNOWN_LEVEL;
  }
  const elapsedMs = Math.max(0, nowMs - record.atMs);
  const refilled = (workspace.rateTokensPerSecond * part * elapsedMs) / MS_PER_SECOND;
  return Math.min(capacityTokens, record.leftTokens + refilled);
}

/** Puts a list in random order, so that VMs do not all ask the same peers first. */
function shuffle<T>(state: NodeState, items: T[]): T[] {
  for (let i = items.length - 1; i > 0; i -= 1) {
    const j = nextRandomInt(state.random, i + 1);
    [items[i], items[j]] = [items[j]!, items[i]!];
  }
  return items;
}

/** The table tells of every VM; gossip tells later of those that are far. */
function getShareUnits(state: NodeState, member: Member): number {
  return state.share.unitsByVmId.get(member.vmId) ?? member.shareUnits;
}

/** Returns the peers that have tokens of a workspace, in random order. */
export function findLenders(state: NodeState, workspace: Workspace, nowMs: number): Lender[] {
  const records = state.lenders.get(workspace.name);
  const lenders = [...state.members.values()]
    .filter(({ heardAtMs }) => nowMs - heardAtMs < state.policy.lenderStaleMs)
    .map(({ member }) => ({
      member,
      expectedTokens: estimatePeerTokens(
        getShareUnits(state, member),
        workspace,
        records?.get(member.vmId),
        nowMs,
      ),
      isLocal: member.failureDomain === state.self.failureDomain,
    }))
    .filter((lender) => lender.expectedTokens >= 1);
  return shuffle(state, lenders);
}

function getAppeal(lender: Lender): number {
  return lender.expectedTokens * (lender.isLocal ? LOCAL_APPEAL : 1);
}

/**
 * Plans whom to ask for `needTokens`. Each lender is asked for a part of the need, and for half of what
 * it has besides as far as this VM has room: that evens the slices out, for a full slice wastes its
 * refill.
 */
export function planLoans(
  state: NodeState,
  workspace: Workspace,
  needTokens: number,
  roomTokens: number,
  nowMs: number,
): LoanPlan[] {
  const plans: LoanPlan[] = [];
  let openTokens = needTokens;
  let openRoomTokens = roomTokens;
  const lenders = findLenders(state, workspace, nowMs).toSorted(
    (a, b) => getAppeal(b) - getAppeal(a),
  );
  for (const { expectedTokens, member } of lenders.slice(0, state.policy.maxBorrowFanout)) {
    if (openTokens <= 0) {
      break;
    }
    const partTokens = Math.min(openTokens, Math.ceil(expectedTokens * EXPECTATION_MARGIN));
    const spareTokens = Math.floor((expectedTokens - partTokens) * EVENING_PART);
    const evenTokens = Math.max(0, Math.min(openRoomTokens, spareTokens));
    plans.push({ member, tokens: partTokens + evenTokens });
    openTokens -= partTokens;
    openRoomTokens -= evenTokens;
  }
  return plans;
}

/** The sooner a peer answers, the sooner a loan is spent and its lender can refill. */
function getSpendWithinMs(record: LenderRecord | undefined): number {
  if (record === undefined || record.roundTripMs === null) {
    return UNKNOWN_SPEND_MS;
  }
  const spendMs = record.roundTripMs * ROUND_TRIPS_TO_SPEND;
  return Math.min(MAX_SPEND_MS, Math.max(MIN_SPEND_MS, spendMs));
}

/** Turns loan plans into orders. */
export function createBorrowCommands(
  state: NodeState,
  requestId: string | null,
  workspace: Workspace,
  plans: readonly LoanPlan[],
  nowMs: number,
): Command[] {
  const records = state.lenders.get(workspace.name);
  return plans.map(({ member, tokens }) => ({
    kind: CommandKind.Borrow,
    requestId,
    peerVmId: member.vmId,
    peerAddress: member.peerAddress,
    workspace: workspace.name,
    tokens,
    askedAtMs: nowMs,
    spendWithinMs: getSpendWithinMs(records?.get(member.vmId)),
  }));
}

/** Keeps what a peer said it has left. A peer that did not answer is taken to have nothing. */
export function recordLender(
  state: NodeState,
  answer: EventOf<typeof EventKind.LoanAnswered>,
  nowMs: number,
): void {
  const { askedAtMs, leftTokens, peerVmId, workspace } = answer;
  const records = state.lenders.get(workspace) ?? new Map<string, LenderRecord>();
  const roundTripMs = leftTokens === null ? null : nowMs - askedAtMs;
  records.set(peerVmId, { leftTokens: leftTokens ?? 0, atMs: nowMs, roundTripMs });
  state.lenders.set(workspace, records);
}

/** Tells whether the whole fleet was found short of a workspace's tokens a moment ago. */
export function isFleetShort(state: NodeState, workspace: Workspace, nowMs: number): boolean {
  return (state.shortUntilMs.get(workspace.name) ?? 0) > nowMs;
}

/** How long a workspace's whole rate takes to refill some tokens. */
export function getRefillMs(workspace: Workspace, tokens: number): number {
  return Math.ceil((tokens * MS_PER_SECOND) / workspace.rateTokensPerSecond);
}
