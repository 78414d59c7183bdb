/**
 * Admits forwarded requests: finds the route, authenticates the workspace by its key, charges the cost to the
 * workspace's rate limit and sets the deadline. Also handles the events that end a request from outside.
 */
import { Either, Left, Right } from 'purify-ts';
import {
  type Deployment,
  findForwardRoute,
  type ForwardRoute,
  type ForwardService,
  type ForwardWorkspace,
} from '../../../state/entry/deployment.js';
import {
  createDiagnostic,
  type Diagnostic,
  type DiagnosticMessage,
  Diagnostics,
} from '../../../state/diagnostics.js';
import { createRequestCause } from '../../../state/entry/crashCauses.js';
import { nextRandom } from '../../../state/random.js';
import { RunStatus } from '../../../state/types.js';
import { LogLevel, RequestOutcome } from '../../events.js';
import { createRefusal, NO_TOKEN_GAPS, NO_WORKSPACE_NAME } from '../../requestCompletion.js';
import { addDemand, getDemand } from '../exchange/demand.js';
import {
  createEntryLog,
  createEntryTimer,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
} from '../commands.js';
import { EntryEventKind, type EntryEventOf, type ForwardRequest } from '../events.js';
import type { PassedRequest } from '../passedRequest.js';
import { checkQuarantine } from '../evidence/quarantines.js';
import { requestLoan, creditLoan } from '../limits/rateLoans.js';
import { getRateBucket, chargeRate } from '../limits/rates.js';
import {
  cancelAttempt,
  closeForward,
  getRequestLogFields,
  getDemandKey,
  getDeadlineTimerId,
  terminateForward,
  refuseForward,
} from './requestCompletion.js';
import { isBeyondUsual } from './workspaceExcess.js';
import { startAtVersion } from './streamVersions.js';
import { STOPPING_RETRY_AFTER_MS } from '../policy.js';
import { EntryLifecycle, type EntryState, ForwardPhase, type ForwardRecord } from '../state.js';

/**
 * Retry-After time by diagnostic code. Reading the configuration takes less than 500 ms. While this VM stops or is
 * behind, another VM accepts the request immediately.
 */
const RETRY_AFTER_MS_BY_CODE: ReadonlyMap<number, number> = new Map([
  [Diagnostics.NotConfigured.code, 500],
  [Diagnostics.Stopping.code, STOPPING_RETRY_AFTER_MS],
  [Diagnostics.VmBehind.code, 50],
]);
/** Lower bound of the Retry-After time of a request over the rate limit. */
const MIN_RATE_RETRY_AFTER_MS = 100;
/** Upper bound of the same time; most callers would not wait longer. */
const MAX_RATE_RETRY_AFTER_MS = 5_000;

/** Latency objective whose requests have weight 1 in the demand by which models are placed. */
const REFERENCE_OBJECTIVE_MS = 2_000;
/** Weights range from the inverse of this value to this value. */
const MAX_OBJECTIVE_WEIGHT = 4;

/** Route, service and workspace of an admitted request. */
export interface Admission {
  readonly route: ForwardRoute;
  readonly service: ForwardService;
  readonly workspace: ForwardWorkspace | null;
}

/** Finds the workspace of a key; null if the route or the deployment needs no key. */
function authenticateWorkspace(
  deployment: Deployment,
  route: ForwardRoute,
  keyDigest: string | null,
): Either<Diagnostic, ForwardWorkspace | null> {
  if (route.isPublic || !deployment.hasWorkspaces) {
    return Right(null);
  }
  const workspace = keyDigest === null ? null : deployment.workspacesByKeyDigest.get(keyDigest);
  const reason: DiagnosticMessage =
    keyDigest === null ? Diagnostics.MissingKey : Diagnostics.UnknownKey;
  return workspace === null || workspace === undefined
    ? Left(createDiagnostic(reason))
    : Right(workspace);
}

/** Picks one of a route's services at random, in proportion to the weights of its targets. */
function pickService(state: EntryState, route: ForwardRoute): string | undefined {
  const totalWeight = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = nextRandom(state.random) * totalWeight;
  const picked = route.targets.find(({ weight }) => {
    remainingWeight -= weight;
    return remainingWeight < 0;
  });
  return (picked ?? route.targets.at(-1))?.service;
}

/** Determines the route, service and workspace of a request, or the reason to reject it. */
function admit(state: EntryState, request: ForwardRequest): Either<Diagnostic, Admission> {
  const { deployment } = state;
  if (deployment === null || state.lifecycle === EntryLifecycle.Starting) {
    return Left(createDiagnostic(Diagnostics.NotConfigured));
  }
  if (state.lifecycle === EntryLifecycle.Draining) {
    return Left(createDiagnostic(Diagnostics.Stopping));
  }
  const route = findForwardRoute(deployment, request.host, request.path);
  if (route === undefined) {
    return Left(createDiagnostic(Diagnostics.UnknownRoute, request.host, request.path));
  }
  return authenticateWorkspace(deployment, route, request.keyDigest).chain((workspace) => {
    const service = deployment.servicesByName.get(pickService(state, route) ?? '');
    return service === undefined
      ? Left(createDiagnostic(Diagnostics.NoBackendServer, route.name))
      : Right({ route, service, workspace });
  });
}

/** Returns the tokens that a request is charged; a fixed cost if it states no token counts. */
function getCostTokens(request: ForwardRequest, workspace: ForwardWorkspace | null): number {
  return request.hasTokenCounts
    ? request.promptTokens + request.maxOutputTokens
    : (workspace?.defaultCostTokens ?? 0);
}

/** Rejects a request that was not admitted and so has no record. */
export function refuseUnadmitted(
  state: EntryState,
  request: ForwardRequest,
  diagnostic: Diagnostic,
): EntryCommand[] {
  const { callerRequestId, requestId } = request;
  const retryAfterMs = RETRY_AFTER_MS_BY_CODE.get(diagnostic.code) ?? null;
  return [
    {
      kind: EntryCommandKind.Refuse,
      requestId,
      refusal: createRefusal(diagnostic, RunStatus.NotRun, retryAfterMs),
    },
    {
      kind: EntryCommandKind.RecordRequest,
      requestId,
      measure: {
        workspace: NO_WORKSPACE_NAME,
        target: '',
        outcome: RequestOutcome.Refused,
        diagnosticKey: diagnostic.key,
        firstTokenMs: null,
        ...NO_TOKEN_GAPS,
        durationMs: 0,
        tokens: 0,
      },
    },
    createEntryLog(LogLevel.Info, EntryLogPrefix.Request, 'The request was not admitted.', {
      request: callerRequestId,
      reason: diagnostic.key,
      host: request.host,
      path: request.path,
      version: state.deployment?.version ?? 0,
    }),
  ];
}

function getTimeLimitMs({ deadlineMs }: ForwardRequest, { timeoutMs }: ForwardRoute): number {
  return Math.min(deadlineMs ?? timeoutMs, timeoutMs);
}

/** Returns an admission if the request still has time when it arrives. Left is `VmBehind`. */
export function checkTimeLeft(
  request: ForwardRequest,
  admission: Admission,
  delayMs: number,
): Either<Diagnostic, Admission> {
  return getTimeLimitMs(request, admission.route) > delayMs
    ? Right(admission)
    : Left(createDiagnostic(Diagnostics.VmBehind, Math.round(delayMs)));
}

/** Creates the record of a request. `pass` is what another VM tells that has passed it to this one, else null. */
export function createForwardRecord(
  request: ForwardRequest,
  admission: Admission,
  delayMs: number,
  nowMs: number,
  pass: PassedRequest | null,
): ForwardRecord {
  const { route, service, workspace } = admission;
  const timeLimitMs = getTimeLimitMs(request, route) - delayMs;
  return {
    request,
    route,
    service,
    workspace,
    requestCause: createRequestCause(request.contentDigest, workspace?.name ?? null),
    costTokens: getCostTokens(request, workspace),
    isCharged: false,
    askedLenders: [],
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + timeLimitMs,
    phase: ForwardPhase.Waiting,
    sequence: 0,
    wasFull: false,
    isBeyondUsual: false,
    isHeldForRoom: false,
    attempt: 0,
    backendId: null,
    passedBy: pass?.vmId ?? null,
    passedTo: null,
    triedVmIds: [],
    unreachedBackendIds: [],
    hasSlowConnect: false,
    hasLostServer: false,
    hasArrived: false,
    softwareVersion: '',
    streamVersion: pass?.streamVersion ?? null,
    recall: null,
    possiblyRunBackendIds: [...(pass?.possiblyRunIds ?? [])],
    notRunBackendIds: [...(pass?.notRunIds ?? [])],
    notRunAttempts: 0,
    heldUntilMs: Number.NEGATIVE_INFINITY,
    runStatus: RunStatus.NotRun,
    firstEventAtMs: null,
    isPlaceDoubtful: false,
    lastEventAtMs: null,
    attemptAnsweredAtMs: null,
    dispatchedAtMs: nowMs,
    pendingPrefillTokens: 0,
    lostAttempt: null,
    isTrial: false,
  };
}

/** Returns the weight of a request in the demand for its model: a shorter latency objective weighs more. */
function getObjectiveWeight({ route }: ForwardRecord): number {
  const weight = REFERENCE_OBJECTIVE_MS / Math.max(1, route.latencyObjectiveMs);
  return Math.min(MAX_OBJECTIVE_WEIGHT, Math.max(1 / MAX_OBJECTIVE_WEIGHT, weight));
}

/** Rejects a request whose workspace is over its rate limit on this VM. */
function refuseOverRate(
  state: EntryState,
  record: ForwardRecord,
  waitMs: number,
  nowMs: number,
): EntryCommand[] {
  const retryAfterMs = Math.min(MAX_RATE_RETRY_AFTER_MS, Math.max(MIN_RATE_RETRY_AFTER_MS, waitMs));
  const { name } = record.workspace!;
  const diagnostic = createDiagnostic(Diagnostics.RateExceeded, name, record.costTokens);
  const bucket = getRateBucket(state, record.workspace!, nowMs);
  return [
    createEntryLog(
      LogLevel.Info,
      EntryLogPrefix.Rate,
      'The workspace is over its rate limit on this VM.',
      {
        ...getRequestLogFields(record, nowMs),
        costTokens: record.costTokens,
        levelTokens: Math.round(bucket.levelTokens),
        capacityTokens: Math.round(bucket.capacityTokens),
        vmTokensPerSecond: Math.round(bucket.rateTokensPerSecond),
        workspaceTokensPerSecond: record.workspace!.rateTokensPerSecond,
        demandTokensPerSecond: Math.round(getDemand(state.workspaceDemand, name, nowMs)),
        lenders: record.askedLenders.join(' '),
        retryMs: Math.round(retryAfterMs),
      },
    ),
    ...refuseForward(state, record, diagnostic, nowMs, retryAfterMs),
  ];
}

/**
 * Takes a request's cost from its workspace's token bucket and dispatches it. If the bucket holds too little,
 * asks another VM to lend the missing tokens, or rejects the request.
 */
function chargeForward(state: EntryState, record: ForwardRecord, nowMs: number): EntryCommand[] {
  const { costTokens, request, workspace } = record;
  const waitMs = workspace === null ? null : chargeRate(state, workspace, record, nowMs);
  if (waitMs !== null) {
    return requestLoan(state, record, nowMs) ?? refuseOverRate(state, record, waitMs, nowMs);
  }
  record.isCharged = true;
  record.isBeyondUsual = isBeyondUsual(state, record, nowMs);
  if (request.model !== null) {
    const key = getDemandKey(record);
    addDemand(state.modelDemand, key, costTokens, nowMs);
    addDemand(state.weightedModelDemand, key, costTokens * getObjectiveWeight(record), nowMs);
  }
  return startAtVersion(state, record, nowMs);
}

/** Opens the record of an admitted request, and starts it unless a quarantine holds it back. */
export function openForward(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
  start: (state: EntryState, record: ForwardRecord, nowMs: number) => EntryCommand[],
): EntryCommand[] {
  const { requestId } = record.request;
  state.openedRequests += 1;
  record.sequence = state.openedRequests;
  state.requests.set(requestId, record);
  const { commands, isRejected } = checkQuarantine(state, record, nowMs);
  if (isRejected) {
    return commands;
  }
  return [
    ...commands,
    createEntryTimer(getDeadlineTimerId(requestId), record.deadlineAtMs - nowMs, {
      kind: EntryEventKind.RequestDeadlineReached,
      requestId,
    }),
    ...start(state, record, nowMs),
  ];
}

/** Admits a request and starts to forward it, or rejects it. */
export function handleRequestArrived(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.RequestArrived>,
  nowMs: number,
): EntryCommand[] {
  const { delayMs, request } = event;
  const admission = admit(state, request).chain((admitted) =>
    checkTimeLeft(request, admitted, delayMs),
  );
  return admission.caseOf<EntryCommand[]>({
    Left: (diagnostic) => refuseUnadmitted(state, request, diagnostic),
    Right: (admitted) => {
      const record = createForwardRecord(request, admitted, delayMs, nowMs, null);
      const { costTokens, workspace } = record;
      if (workspace !== null) {
        addDemand(state.workspaceDemand, workspace.name, costTokens, nowMs);
      }
      return openForward(state, record, nowMs, chargeForward);
    },
  });
}

/** Resumes the admission of a request once another VM has answered the request for a loan of its workspace's rate. */
export function handleRateLoan(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.LoanAnswered>,
  nowMs: number,
): EntryCommand[] {
  creditLoan(state, event, nowMs);
  const record = state.requests.get(event.requestId);
  return record?.phase === ForwardPhase.Charging ? chargeForward(state, record, nowMs) : [];
}

/** Cancels a request whose connection to its caller was closed. */
export function handleCallerDisconnected(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.CallerDisconnected>,
  nowMs: number,
): EntryCommand[] {
  const record = state.requests.get(event.requestId);
  if (record === undefined) {
    return [];
  }
  const cancel = cancelAttempt(record);
  record.runStatus =
    record.phase === ForwardPhase.Dispatched ? RunStatus.Unknown : record.runStatus;
  const end = { outcome: RequestOutcome.Abandoned, diagnostic: null, closedBy: event.closedBy };
  return [...cancel, ...closeForward(state, record, end, nowMs)];
}

/** Ends a request that has reached its deadline. */
export function handleRequestDeadlineReached(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.RequestDeadlineReached>,
  nowMs: number,
): EntryCommand[] {
  const record = state.requests.get(event.requestId);
  if (record === undefined) {
    return [];
  }
  const timeLimitMs = record.deadlineAtMs - record.arrivedAtMs;
  const diagnostic = createDiagnostic(Diagnostics.DeadlineExceeded, timeLimitMs);
  return terminateForward(state, record, diagnostic, nowMs);
}
