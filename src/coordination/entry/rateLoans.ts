/**
 * Loans of a workspace's tokens between VMs: callers stay with a VM, so one runs short while others have
 * tokens that nobody asks for. What is lent leaves the lender's bucket before it enters the borrower's, and a
 * lost answer loses it, so that loans never add to what all VMs may spend.
 */
import type { ForwardWorkspace } from '../../state/entry/deployment.js';
import { getBucketShortage, type RateBucket } from '../../state/entry/rateBucket.js';
import type { WorkspaceDemand } from '../../state/entry/reports.js';
import { nextRandomInt } from '../../state/random.js';
import { getDemand, listDemands } from './demand.js';
import { type EntryCommand, EntryCommandKind } from './commands.js';
import type { EntryEventKind, EntryEventOf } from './events.js';
import { getRateBucket } from './rates.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from './state.js';

/** VMs that are asked for one request; each question takes a few milliseconds of its time. */
const MAX_LENDERS = 2;
/** Tokens that a lender keeps for its own callers, as a time of its demand: a round of reports. */
const KEEP_MS = 400;
/** How long the answer of a lender goes before its report, which may be older: a round of reports, and its way. */
const ANSWER_FRESH_MS = 800;
/** Reports that are older than this time tell nothing: some rounds. */
const REPORT_FRESH_MS = 2_500;
/** VMs that are compared: if all asked the richest one, it would soon be the poorest. */
const COMPARED_LENDERS = 3;
const MS_PER_SECOND = 1000;

function getSpareTokens(
  state: EntryState,
  name: string,
  bucket: RateBucket,
  nowMs: number,
): number {
  const keptTokens = (getDemand(state.workspaceDemand, name, nowMs) * KEEP_MS) / MS_PER_SECOND;
  return Math.max(0, bucket.levelTokens - keptTokens);
}

function forgetAnswers({ answeredSpares }: EntryState, nowMs: number): void {
  [...answeredSpares.entries()]
    .filter(([, { atMs }]) => nowMs - atMs >= ANSWER_FRESH_MS)
    .forEach(([key]) => answeredSpares.delete(key));
}

/** Describes this VM's demand and spare tokens of each workspace that was asked for here. */
export function describeWorkspaces(state: EntryState, nowMs: number): WorkspaceDemand[] {
  forgetAnswers(state, nowMs);
  const demands = new Map(
    listDemands(state.workspaceDemand, nowMs).map(({ name, tokensPerSecond }) => [
      name,
      tokensPerSecond,
    ]),
  );
  const names = new Set([...demands.keys(), ...state.buckets.keys()]);
  return [...names].map((name) => {
    const workspace = state.deployment?.workspacesByName.get(name);
    const isLimited = workspace !== undefined && workspace.rateTokensPerSecond > 0;
    return {
      name,
      tokensPerSecond: demands.get(name) ?? 0,
      spareTokens: isLimited
        ? getSpareTokens(state, name, getRateBucket(state, workspace, nowMs), nowMs)
        : 0,
    };
  });
}

interface Lender {
  readonly vmId: string;
  readonly peerAddress: string;
  readonly spareTokens: number;
}

function listLenders(
  state: EntryState,
  record: ForwardRecord,
  bucket: RateBucket,
  nowMs: number,
): Lender[] {
  const { name } = record.workspace!;
  return [...state.peers.entries()]
    .filter(
      ([vmId, { heardAtMs, report }]) =>
        nowMs - heardAtMs < REPORT_FRESH_MS && !report.isLeaving && !record.lenders.includes(vmId),
    )
    .map(([vmId, { report }]) => {
      const answered = state.answeredSpares.get(`${vmId} ${name}`);
      const isFresh = answered !== undefined && nowMs - answered.atMs < ANSWER_FRESH_MS;
      const told = report.workspaceDemands.find((demand) => demand.name === name);
      // A VM that was never asked for the workspace has a bucket like this one's, untouched.
      const spareTokens = isFresh
        ? answered.spareTokens
        : (told?.spareTokens ?? bucket.capacityTokens);
      return { vmId, peerAddress: report.peerAddress, spareTokens };
    });
}

function drawLender(state: EntryState, lenders: Lender[]): Lender | undefined {
  const rest = [...lenders];
  const drawn: Lender[] = [];
  while (rest.length > 0 && drawn.length < COMPARED_LENDERS) {
    drawn.push(...rest.splice(nextRandomInt(state.random, rest.length), 1));
  }
  return drawn.sort((a, b) => b.spareTokens - a.spareTokens)[0];
}

/** Asks another VM for the tokens that a request lacks; null if none is known to have them. */
export function askForLoan(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] | null {
  const workspace = record.workspace!;
  if (record.lenders.length >= MAX_LENDERS) {
    return null;
  }
  const bucket = getRateBucket(state, workspace, nowMs);
  const tokens = Math.ceil(getBucketShortage(bucket, record.costTokens));
  const lenders = listLenders(state, record, bucket, nowMs);
  const lender = drawLender(
    state,
    lenders.filter(({ spareTokens }) => spareTokens >= tokens),
  );
  if (lender === undefined) {
    return null;
  }
  record.phase = ForwardPhase.Charging;
  record.lenders.push(lender.vmId);
  const { peerAddress, vmId } = lender;
  const { requestId } = record.request;
  const kind = EntryCommandKind.BorrowRate;
  return [{ kind, requestId, vmId, peerAddress, workspace: workspace.name, tokens }];
}

function lend(
  state: EntryState,
  workspace: ForwardWorkspace,
  tokens: number,
  nowMs: number,
): { readonly lentTokens: number; readonly spareTokens: number } {
  const bucket = getRateBucket(state, workspace, nowMs);
  const spareTokens = getSpareTokens(state, workspace.name, bucket, nowMs);
  const lentTokens = spareTokens >= tokens ? tokens : 0;
  bucket.levelTokens -= lentTokens;
  return { lentTokens, spareTokens: spareTokens - lentTokens };
}

/** Lends a VM what it asks for, if this VM can spare it. */
export function handleRateAsked(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.RateAsked>,
  nowMs: number,
): EntryCommand[] {
  const { replyId, tokens } = event;
  const workspace = state.deployment?.workspacesByName.get(event.workspace);
  const isSound = Number.isFinite(tokens) && tokens > 0;
  const loan =
    workspace === undefined || !isSound
      ? { lentTokens: 0, spareTokens: 0 }
      : lend(state, workspace, tokens, nowMs);
  return [{ kind: EntryCommandKind.AnswerRate, replyId, ...loan }];
}

/** Puts what was lent into this VM's bucket, and notes what the lender has left. */
export function takeLoan(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.RateLent>,
  nowMs: number,
): void {
  const { lentTokens, spareTokens, vmId } = event;
  const workspace = state.deployment?.workspacesByName.get(event.workspace);
  state.answeredSpares.set(`${vmId} ${event.workspace}`, { spareTokens, atMs: nowMs });
  if (workspace !== undefined && Number.isFinite(lentTokens) && lentTokens > 0) {
    const bucket = getRateBucket(state, workspace, nowMs);
    // No question is for more than a bucket holds.
    bucket.levelTokens += Math.min(lentTokens, bucket.capacityTokens);
  }
}
