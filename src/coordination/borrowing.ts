/**
 * Borrowing tokens from peers for a request that is within its workspace's rate while this VM's own
 * slice is short, and lending to peers.
 */
import { TOTAL_SHARE_UNITS } from '../state/shareTable.js';
import { LOAN_SPEND_MS } from '../state/tokenSlice.js';
import type { Member, Workspace } from '../state/types.js';
import { type Command, CommandKind } from './events.js';
import type { LenderRecord, NodeState } from './nodeState.js';

/** Part of a slice that is expected of a peer that has not told its level yet. */
const UNKNOWN_LEVEL = 0.5;
/** What is asked for over the need, since expectations are rough. */
const EXPECTATION_MARGIN = 1.2;
const MS_PER_SECOND = 1000;

/** A peer to ask, and for how many tokens. */
export interface LoanPlan {
  readonly member: Member;
  readonly tokens: number;
}

interface Lender {
  readonly member: Member;
  readonly expectedTokens: number;
  readonly isLocal: boolean;
}

/** Estimates what a peer has of a workspace's tokens now. */
export function estimatePeerTokens(
  member: Member,
  workspace: Workspace,
  record: LenderRecord | undefined,
  nowMs: number,
): number {
  const part = member.shareUnits / TOTAL_SHARE_UNITS;
  const capacityTokens = workspace.burstTokens * part;
  if (record === undefined) {
    return capacityTokens * UNKNOWN_LEVEL;
  }
  const elapsedMs = Math.max(0, nowMs - record.atMs);
  const refilled = (workspace.rateTokensPerSecond * part * elapsedMs) / MS_PER_SECOND;
  return Math.min(capacityTokens, record.leftTokens + refilled);
}

function findLenders(state: NodeState, workspace: Workspace, nowMs: number): Lender[] {
  const records = state.lenders.get(workspace.name);
  return [...state.members.values()]
    .filter(({ heardAtMs }) => nowMs - heardAtMs < state.policy.memberStaleMs)
    .filter(({ member }) => member.shareUnits > 0)
    .map(({ member }) => ({
      member,
      expectedTokens: estimatePeerTokens(member, workspace, records?.get(member.vmId), nowMs),
      isLocal: member.failureDomain === state.self.failureDomain,
    }))
    .filter((lender) => lender.expectedTokens >= 1);
}

function compareLenders(a: Lender, b: Lender): number {
  const byDomain = Number(b.isLocal) - Number(a.isLocal);
  const byTokens = b.expectedTokens - a.expectedTokens;
  return byDomain || byTokens || a.member.vmId.localeCompare(b.member.vmId);
}

/**
 * Plans whom to ask for `needTokens`. Each lender is asked for a part of the need, so that no more is
 * borrowed than is needed.
 */
export function planLoans(
  state: NodeState,
  workspace: Workspace,
  needTokens: number,
  nowMs: number,
): LoanPlan[] {
  const plans: LoanPlan[] = [];
  let openTokens = needTokens;
  const lenders = findLenders(state, workspace, nowMs).toSorted(compareLenders);
  for (const { member, expectedTokens } of lenders.slice(0, state.policy.maxBorrowFanout)) {
    if (openTokens <= 0) {
      break;
    }
    const tokens = Math.min(openTokens, Math.ceil(expectedTokens * EXPECTATION_MARGIN));
    plans.push({ member, tokens });
    openTokens -= tokens;
  }
  return plans;
}

/** Turns loan plans into orders. */
export function createBorrowCommands(
  requestId: string,
  workspace: Workspace,
  plans: readonly LoanPlan[],
): Command[] {
  return plans.map(({ member, tokens }) => ({
    kind: CommandKind.Borrow,
    requestId,
    peerVmId: member.vmId,
    peerAddress: member.peerAddress,
    workspace: workspace.name,
    tokens,
    timeoutMs: LOAN_SPEND_MS,
  }));
}

/** Keeps what a peer said it has left. A peer that did not answer is taken to have nothing. */
export function recordLender(
  state: NodeState,
  workspace: string,
  vmId: string,
  leftTokens: number,
  nowMs: number,
): void {
  const records = state.lenders.get(workspace) ?? new Map<string, LenderRecord>();
  records.set(vmId, { leftTokens, atMs: nowMs });
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
