/**
 * Lends and borrows a workspace's tokens between the buckets of VMs. Callers keep using the same VM, so one VM can run
 * out of tokens while others have unused ones. The tokens leave the lender's bucket before they enter the borrower's,
 * and are lost if the answer is lost, so that loans never increase the total that all VMs may spend.
 */
import type { ForwardWorkspace } from '../../../state/entry/deployment.js';
import {
  getBucketShortage,
  getReservedTokens,
  type RateBucket,
} from '../../../state/entry/rateBucket.js';
import type { Lender } from '../../../state/entry/reports.js';
import { nextRandomInt } from '../../../state/random.js';
import { getDemand } from '../exchange/demand.js';
import { type EntryCommand, EntryCommandKind } from '../commands.js';
import { type EntryEventKind, type EntryEventOf, LimitKind } from '../events.js';
import { findLender, type LenderAddress } from './lenders.js';
import { getOthersDemand } from '../exchange/othersDemand.js';
import { getNeededTokens, getRateBucket, getRateHolders } from './rates.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from '../state.js';

/** Maximum number of VMs asked for one request. Each loan request delays it by a few milliseconds. */
const MAX_LENDERS = 3;
/** A lender keeps the tokens that its own callers need for this time: one gossip round. */
const OWN_DEMAND_RESERVE_MS = 400;
/** A lender's answer takes precedence over its report, which may be older, for a gossip round and its propagation. */
const ANSWER_MAX_AGE_MS = 800;
/** Random candidates to compare. If all VMs asked the one with the most spare tokens, it would soon run out. */
const LENDER_SAMPLE_SIZE = 3;
const MS_PER_SECOND = 1000;

function getSpareTokens(
  state: EntryState,
  name: string,
  bucket: RateBucket,
  nowMs: number,
): number {
  const reservedTokens =
    (getDemand(state.workspaceDemand, name, nowMs) * OWN_DEMAND_RESERVE_MS) / MS_PER_SECOND;
  const keptTokens = getReservedTokens(bucket, null, nowMs);
  return Math.max(0, bucket.levelTokens - reservedTokens - keptTokens);
}

/** Removes lenders' answers that are older than their reports. */
export function expireLoanAnswers({ spareTokensByLender }: EntryState, nowMs: number): void {
  [...spareTokensByLender.entries()]
    .filter(([, { atMs }]) => nowMs - atMs >= ANSWER_MAX_AGE_MS)
    .forEach(([key]) => spareTokensByLender.delete(key));
}

/** Returns the tokens of a workspace's rate that this VM can lend. */
export function getWorkspaceSpareTokens(state: EntryState, name: string, nowMs: number): number {
  const workspace = state.deployment?.workspacesByName.get(name);
  return workspace !== undefined && workspace.rateTokensPerSecond > 0
    ? getSpareTokens(state, name, getRateBucket(state, workspace, nowMs), nowMs)
    : 0;
}

interface LoanCandidate extends LenderAddress {
  readonly spareTokens: number;
}

/** Returns the VMs that may have tokens to lend, although none of them has reported so. */
function listUnreportedLenders(
  state: EntryState,
  workspace: ForwardWorkspace,
  bucket: RateBucket,
): Lender[] {
  // A VM that has had no request of the workspace has an unused bucket.
  const holders = getRateHolders(state, workspace);
  const isBorrower = holders !== null && bucket.rateTokensPerSecond === 0;
  const spareTokens = bucket.capacityTokens / (isBorrower ? holders.length : 1);
  return (holders ?? state.sharingVmIds).map((vmId) => ({ vmId, spareTokens }));
}

function listLenders(
  state: EntryState,
  record: ForwardRecord,
  bucket: RateBucket,
  nowMs: number,
): LoanCandidate[] {
  const workspace = record.workspace!;
  const { name } = workspace;
  const { lenders } = getOthersDemand(state, name, nowMs);
  const reported = new Map(lenders.map((lender) => [lender.vmId, lender]));
  const unreported = listUnreportedLenders(state, workspace, bucket).filter(
    ({ vmId }) => !reported.has(vmId),
  );
  return [...reported.values(), ...unreported]
    .filter(({ vmId }) => !record.askedLenders.includes(vmId))
    .flatMap((lender): LoanCandidate[] => {
      const address = findLender(state, lender.vmId, nowMs);
      const answered = state.spareTokensByLender.get(`${lender.vmId} ${name}`);
      const isFresh = answered !== undefined && nowMs - answered.atMs < ANSWER_MAX_AGE_MS;
      const spareTokens = isFresh ? answered.spareTokens : lender.spareTokens;
      return address === null ? [] : [{ ...address, spareTokens }];
    });
}

function selectLender(
  state: EntryState,
  lenders: readonly LoanCandidate[],
): LoanCandidate | undefined {
  const candidates = [...lenders];
  const sample: LoanCandidate[] = [];
  while (candidates.length > 0 && sample.length < LENDER_SAMPLE_SIZE) {
    sample.push(...candidates.splice(nextRandomInt(state.random, candidates.length), 1));
  }
  return sample.sort((a, b) => b.spareTokens - a.spareTokens)[0];
}

/**
 * Sends another VM a loan request for the tokens that a request lacks. Returns null if no VM is known to have enough
 * or the request has reached its limit of lenders.
 */
export function requestLoan(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] | null {
  const workspace = record.workspace!;
  if (record.askedLenders.length >= MAX_LENDERS) {
    return null;
  }
  const bucket = getRateBucket(state, workspace, nowMs);
  const tokens = Math.ceil(getBucketShortage(bucket, getNeededTokens(bucket, record, nowMs)));
  const lenders = listLenders(state, record, bucket, nowMs);
  const lender = selectLender(
    state,
    lenders.filter(({ spareTokens }) => spareTokens >= tokens),
  );
  if (lender === undefined) {
    return null;
  }
  record.phase = ForwardPhase.Charging;
  record.askedLenders.push(lender.vmId);
  const { peerAddress, vmId } = lender;
  const { requestId } = record.request;
  const kind = EntryCommandKind.RequestLoan;
  const limit = { kind: LimitKind.Workspace, name: workspace.name };
  return [{ kind, requestId, vmId, peerAddress, limit, tokens }];
}

/** Tokens that a VM lends, and tokens that it could lend in addition. */
export interface Loan {
  readonly lentTokens: number;
  readonly spareTokens: number;
}

function lend(state: EntryState, workspace: ForwardWorkspace, tokens: number, nowMs: number): Loan {
  const bucket = getRateBucket(state, workspace, nowMs);
  const spareTokens = getSpareTokens(state, workspace.name, bucket, nowMs);
  const lentTokens = spareTokens >= tokens ? tokens : 0;
  bucket.levelTokens -= lentTokens;
  return { lentTokens, spareTokens: spareTokens - lentTokens };
}

/** Lends the requested tokens of a workspace's rate if this VM has that many to spare, else none. */
export function lendRate(state: EntryState, name: string, tokens: number, nowMs: number): Loan {
  const workspace = state.deployment?.workspacesByName.get(name);
  const isValid = Number.isFinite(tokens) && tokens > 0;
  return workspace === undefined || !isValid
    ? { lentTokens: 0, spareTokens: 0 }
    : lend(state, workspace, tokens, nowMs);
}

/** Adds the lent tokens to this VM's bucket, and records the spare tokens that the lender has left. */
export function creditLoan(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.LoanAnswered>,
  nowMs: number,
): void {
  const { lentTokens, limit, spareTokens, vmId } = event;
  const workspace = state.deployment?.workspacesByName.get(limit.name);
  state.spareTokensByLender.set(`${vmId} ${limit.name}`, { spareTokens, atMs: nowMs });
  if (workspace !== undefined && Number.isFinite(lentTokens) && lentTokens > 0) {
    const bucket = getRateBucket(state, workspace, nowMs);
    // Limits an invalid loan: a loan request is normally for no more than the capacity.
    bucket.levelTokens += Math.min(lentTokens, bucket.capacityTokens);
  }
}
