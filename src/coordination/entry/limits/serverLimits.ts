/**
 * Keeps the requests of all VMs within the limits that backend servers in need state in their answers.
 *
 * A VM that reads a limit tells the others. Each VM then has a token bucket for the server; every dispatch takes one
 * token, also those of retries and resumed streams. VMs without a token borrow one from a VM that has a share.
 */
import type { Backend } from '../../../state/entry/backends.js';
import {
  getPermitShare,
  getUsableRate,
  selectShareHolders,
} from '../../../state/entry/permitShares.js';
import type { LimitReport } from '../../../state/entry/evidenceReports.js';
import {
  createRateBucket,
  getBucketWaitMs,
  resizeRateBucket,
  takeFromBucket,
} from '../../../state/entry/rateBucket.js';
import { nextRandomInt } from '../../../state/random.js';
import { LogLevel } from '../../events.js';
import {
  createEntryLog,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
} from '../commands.js';
import { type EntryEventKind, type EntryEventOf, LimitKind } from '../events.js';
import { spreadEvidence } from '../exchange/evidenceSpread.js';
import { findLender } from './lenders.js';
import type { Loan } from './rateLoans.js';
import { updatePlaces } from './serverPlaces.js';
import { updateColdShare } from '../servers/coldServers.js';
import { countVmsSharingLimits } from '../liveVms.js';
import { type EntryState } from '../state.js';

/** Number of tokens that one request takes. */
const REQUEST_PERMITS = 1;
const MS_PER_SECOND = 1_000;
/** Time for which no VM is asked for a permit after one has refused: most have none left then. */
const LOAN_REFUSAL_DELAY_MS = 300;
/** A share of a limit that was unused for this time is used before other servers. */
const LIMIT_VERIFICATION_MS = 5_000;

function listHolders(state: EntryState, serverId: string, requestsPerSecond: number): string[] {
  const vmIds = [state.self.vmId, ...state.sharingVmIds];
  return selectShareHolders(serverId, vmIds, requestsPerSecond);
}

/** Adapts this VM's share of a server's limit to the VMs that there are now. */
function updateShare(state: EntryState, { entry, limit }: Backend, nowMs: number): void {
  if (limit !== null) {
    const holders = listHolders(state, entry.id, limit.requestsPerSecond);
    const share = getPermitShare(holders, state.self.vmId, limit.requestsPerSecond);
    resizeRateBucket(limit.permits, share.capacity, share.requestsPerSecond, nowMs);
  }
}

/** Adapts this VM's shares of all limits, rates of cold servers and places to the VMs that there are now, if these have changed. */
export function updatePermitShares(state: EntryState, nowMs: number): void {
  if (state.sharingVmIds !== state.permitShareVmIds) {
    state.permitShareVmIds = state.sharingVmIds;
    state.backends.forEach((backend) => {
      updateShare(state, backend, nowMs);
      updateColdShare(state, backend, nowMs);
      updatePlaces(state, backend);
    });
  }
}

/** Sets or ends the limit of a server. A new limit starts without permits, as requests were sent just before. */
function setLimit(
  state: EntryState,
  backend: Backend,
  requestsPerSecond: number | null,
  version: number,
  nowMs: number,
): EntryCommand[] {
  const previous = backend.limit?.requestsPerSecond ?? null;
  backend.limitVersion = version;
  backend.limitChangedAtMs = nowMs;
  const permits = backend.limit?.permits ?? createRateBucket(1, 0, 0, nowMs);
  backend.limit =
    requestsPerSecond === null
      ? null
      : { requestsPerSecond, permits, noLoanUntilMs: Number.NEGATIVE_INFINITY, usedAtMs: nowMs };
  updateShare(state, backend, nowMs);
  const text =
    requestsPerSecond === null
      ? 'A backend server has ended its request limit.'
      : 'A backend server limits its requests.';
  const { id: server, service } = backend.entry;
  return [
    createEntryLog(LogLevel.Info, EntryLogPrefix.Backend, text, {
      server,
      service,
      requestsPerSecond: requestsPerSecond ?? -1,
      previous: previous ?? -1,
      shareRequestsPerSecond: backend.limit?.permits.rateTokensPerSecond ?? -1,
    }),
    ...spreadEvidence(state),
  ];
}

/** Records the limit that a server has stated, or its end. */
export function handleLimitReported(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.LimitReported>,
  nowMs: number,
): EntryCommand[] {
  const { backendId, dispatchedAtMs, requestsPerSecond } = event;
  const backend = state.backends.get(backendId);
  const isChanged =
    backend !== undefined && requestsPerSecond !== (backend.limit?.requestsPerSecond ?? null);
  // An answer to an earlier request may arrive after one that states the limit.
  const isOutdated =
    requestsPerSecond === null && dispatchedAtMs < (backend?.limitChangedAtMs ?? 0);
  return !isChanged || isOutdated
    ? []
    : setLimit(state, backend, requestsPerSecond, backend.limitVersion + 1, nowMs);
}

/** Returns the limits, and those that have ended, for the other VMs. */
export function listLimits({ backends }: EntryState): LimitReport[] {
  return [...backends.values()]
    .filter(({ limitVersion }) => limitVersion > 0)
    .map(({ entry, limit, limitVersion }) => ({
      serverId: entry.id,
      bornAtWallMs: entry.bornAtWallMs,
      requestsPerSecond: limit?.requestsPerSecond ?? null,
      version: limitVersion,
    }));
}

/** Returns whether another VM's report is of a later change, or of the stricter one of two at the same time. */
function isLaterLimit({ limit, limitVersion }: Backend, report: LimitReport): boolean {
  const known = limit?.requestsPerSecond ?? Number.POSITIVE_INFINITY;
  const reported = report.requestsPerSecond ?? Number.POSITIVE_INFINITY;
  return report.version > limitVersion || (report.version === limitVersion && reported < known);
}

/** Merges what other VMs have read of limits. */
export function mergeLimits(
  state: EntryState,
  limits: readonly LimitReport[],
  nowMs: number,
): EntryCommand[] {
  return limits.flatMap((report) => {
    const { bornAtWallMs, requestsPerSecond, serverId, version } = report;
    const backend = state.backends.get(serverId);
    return backend?.entry.bornAtWallMs === bornAtWallMs && isLaterLimit(backend, report)
      ? setLimit(state, backend, requestsPerSecond, version, nowMs)
      : [];
  });
}

/** Returns whether a server may get a request of this VM now. */
export function hasPermit({ limit }: Backend, nowMs: number): boolean {
  return limit === null || getBucketWaitMs(limit.permits, REQUEST_PERMITS, nowMs) === 0;
}

/** Takes the permit for a request that is dispatched to a server. */
export function takePermit({ limit }: Backend, nowMs: number): void {
  if (limit !== null) {
    takeFromBucket(limit.permits, REQUEST_PERMITS, nowMs);
    limit.usedAtMs = nowMs;
  }
}

/** Returns whether a server's limit may have ended without this VM having noticed: only an answer shows that. */
export function isLimitUnverified({ limit }: Backend, nowMs: number): boolean {
  return limit !== null && nowMs - limit.usedAtMs > LIMIT_VERIFICATION_MS;
}

/**
 * Returns the expected time until one of some servers can take a request of this VM after a number of others; null if
 * not all of them have a limit. A VM without a share gets as much as the others, on loan.
 */
export function getExpectedPermitWaitMs(
  state: EntryState,
  servers: readonly Backend[],
  requestsAhead: number,
  nowMs: number,
): number | null {
  const limits = servers.flatMap(({ limit }) => (limit === null ? [] : [limit]));
  if (limits.length === 0 || limits.length < servers.length) {
    return null;
  }
  const usablePerSecond = limits.reduce(
    (sum, { requestsPerSecond }) => sum + getUsableRate(requestsPerSecond),
    0,
  );
  const intervalMs = (MS_PER_SECOND * countVmsSharingLimits(state)) / usablePerSecond;
  const ownWaitsMs = limits.map(({ permits }) => getBucketWaitMs(permits, REQUEST_PERMITS, nowMs));
  return Math.min(intervalMs, ...ownWaitsMs) + requestsAhead * intervalMs;
}

/** Picks one of the VMs at random that have a share of a server's limit; null if none can be asked. */
function pickLender(
  state: EntryState,
  { entry, limit }: Backend,
  nowMs: number,
): { readonly vmId: string; readonly peerAddress: string } | null {
  const lenders = listHolders(state, entry.id, limit!.requestsPerSecond).flatMap(
    (vmId) => findLender(state, vmId, nowMs) ?? [],
  );
  return lenders[nextRandomInt(state.random, Math.max(1, lenders.length))] ?? null;
}

/** Returns the number of servers that limit their requests. */
export function countLimited(servers: readonly Backend[]): number {
  return servers.filter(({ limit }) => limit !== null).length;
}

/** Asks another VM for a permit to send a request to one of some servers, if one of them has a limit. */
export function requestPermit(
  state: EntryState,
  requestId: string,
  servers: readonly Backend[],
  nowMs: number,
): EntryCommand[] {
  const limited = servers.filter(({ limit }) => limit !== null && limit.noLoanUntilMs <= nowMs);
  const server = limited[nextRandomInt(state.random, Math.max(1, limited.length))];
  const lender = server === undefined ? null : pickLender(state, server, nowMs);
  if (server === undefined || lender === null) {
    return [];
  }
  server.limit!.noLoanUntilMs = nowMs + LOAN_REFUSAL_DELAY_MS;
  const kind = EntryCommandKind.RequestLoan;
  const limit = { kind: LimitKind.Server, name: server.entry.id };
  return [{ kind, requestId, ...lender, limit, tokens: REQUEST_PERMITS }];
}

/** Lends a permit of this VM's share of a server's limit, if it has one. */
export function lendPermits(
  state: EntryState,
  serverId: string,
  tokens: number,
  nowMs: number,
): Loan {
  const limit = state.backends.get(serverId)?.limit ?? null;
  const isLent =
    limit !== null &&
    tokens === REQUEST_PERMITS &&
    takeFromBucket(limit.permits, REQUEST_PERMITS, nowMs);
  return { lentTokens: isLent ? tokens : 0, spareTokens: 0 };
}

/** Adds the permits that another VM has lent. */
export function creditPermits(
  state: EntryState,
  serverId: string,
  lentTokens: number,
  nowMs: number,
): void {
  const limit = state.backends.get(serverId)?.limit ?? null;
  if (limit !== null && lentTokens === REQUEST_PERMITS) {
    getBucketWaitMs(limit.permits, REQUEST_PERMITS, nowMs);
    limit.permits.levelTokens += lentTokens;
    limit.noLoanUntilMs = Number.NEGATIVE_INFINITY;
  }
}
