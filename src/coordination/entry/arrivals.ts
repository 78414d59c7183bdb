/**
 * Admission of forwarded requests: route, key, rate and time.
 */
import { Either, Left, Right } from 'purify-ts';
import {
  type Deployment,
  findForwardRoute,
  type ForwardRoute,
  type ForwardService,
  type ForwardWorkspace,
} from '../../state/entry/deployment.js';
import {
  createDiagnostic,
  type Diagnostic,
  type DiagnosticMessage,
  Diagnostics,
} from '../../state/diagnostics.js';
import { nextRandom } from '../../state/random.js';
import { RunClaim } from '../../state/types.js';
import { LogLevel, RequestOutcome } from '../events.js';
import { createRefusal, NO_GAPS, OPEN_WORKSPACE } from '../requestRecords.js';
import { addDemand, getDemand } from './demand.js';
import {
  createEntryLog,
  createEntryTimer,
  type EntryCommand,
  EntryCommandKind,
  EntryPart,
} from './commands.js';
import { EntryEventKind, type EntryEventOf, type ForwardRequest } from './events.js';
import { startForward } from './forwarding.js';
import { askForLoan, takeLoan } from './rateLoans.js';
import { getRateBucket, takeRate } from './rates.js';
import {
  cancelAttempt,
  closeForward,
  describeRecord,
  getDemandKey,
  getDueTimerId,
  giveUpForward,
  refuseForward,
} from './records.js';
import { EntryLifecycle, type EntryState, ForwardPhase, type ForwardRecord } from './state.js';

/**
 * What a caller is told to wait. While this VM has no configuration: reading it takes less. While it stops:
 * another VM takes the request at once.
 */
const RETRY_TIMES_MS: ReadonlyMap<number, number> = new Map([
  [Diagnostics.NotConfigured.code, 500],
  [Diagnostics.Stopping.code, 50],
]);
/** A refusal for rate names at least this time. */
const MIN_RATE_RETRY_MS = 100;
/** A refusal for rate names at most this time; a longer one would outlast most callers. */
const MAX_RATE_RETRY_MS = 5_000;

/** A request that is due within this time counts once for the placement of models. */
const REFERENCE_OBJECTIVE_MS = 2_000;
const MAX_TIME_WEIGHT = 4;

interface Admission {
  readonly route: ForwardRoute;
  readonly service: ForwardService;
  readonly workspace: ForwardWorkspace | null;
}

function findKeyHolder(
  deployment: Deployment,
  route: ForwardRoute,
  keyDigest: string | null,
): Either<Diagnostic, ForwardWorkspace | null> {
  if (route.isOpen || !deployment.hasWorkspaces) {
    return Right(null);
  }
  const workspace = keyDigest === null ? null : deployment.workspacesByKeyDigest.get(keyDigest);
  const reason: DiagnosticMessage =
    keyDigest === null ? Diagnostics.MissingKey : Diagnostics.UnknownKey;
  return workspace === null || workspace === undefined
    ? Left(createDiagnostic(reason))
    : Right(workspace);
}

/** Draws one of a route's services by weight. */
function drawService(state: EntryState, route: ForwardRoute): string | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let rest = nextRandom(state.random) * total;
  const drawn = route.targets.find(({ weight }) => {
    rest -= weight;
    return rest < 0;
  });
  return (drawn ?? route.targets.at(-1))?.service;
}

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
  return findKeyHolder(deployment, route, request.keyDigest).chain((workspace) => {
    const service = deployment.servicesByName.get(drawService(state, route) ?? '');
    return service === undefined
      ? Left(createDiagnostic(Diagnostics.NoBackendServer, route.name))
      : Right({ route, service, workspace });
  });
}

function getCost(request: ForwardRequest, workspace: ForwardWorkspace | null): number {
  return request.hasTokenCounts
    ? request.promptTokens + request.maxOutputTokens
    : (workspace?.plainCostTokens ?? 0);
}

function refuseArrival(
  state: EntryState,
  request: ForwardRequest,
  diagnostic: Diagnostic,
): EntryCommand[] {
  const { callerRequestId, requestId } = request;
  const retryAfterMs = RETRY_TIMES_MS.get(diagnostic.code) ?? null;
  return [
    {
      kind: EntryCommandKind.Refuse,
      requestId,
      refusal: createRefusal(diagnostic, RunClaim.NotRun, retryAfterMs),
    },
    {
      kind: EntryCommandKind.RecordRequest,
      requestId,
      measure: {
        workspace: OPEN_WORKSPACE,
        target: '',
        outcome: RequestOutcome.Refused,
        diagnosticKey: diagnostic.key,
        firstTokenMs: null,
        ...NO_GAPS,
        durationMs: 0,
        tokens: 0,
      },
    },
    createEntryLog(LogLevel.Info, EntryPart.Request, 'The request was not admitted.', {
      request: callerRequestId,
      reason: diagnostic.key,
      host: request.host,
      path: request.path,
      version: state.deployment?.version ?? 0,
    }),
  ];
}

function createForward(
  request: ForwardRequest,
  admission: Admission,
  nowMs: number,
): ForwardRecord {
  const { route, service, workspace } = admission;
  const timeMs = Math.min(request.deadlineMs ?? route.timeoutMs, route.timeoutMs);
  return {
    request,
    route,
    service,
    workspace,
    costTokens: getCost(request, workspace),
    isCharged: false,
    lenders: [],
    arrivedAtMs: nowMs,
    endsAtMs: nowMs + timeMs,
    phase: ForwardPhase.Waiting,
    attempt: 0,
    backendId: null,
    usedBackends: [],
    refusedBy: [],
    refusals: 0,
    runClaim: RunClaim.NotRun,
    firstEventAtMs: null,
    sentAtMs: nowMs,
    unreadTokens: 0,
  };
}

/** How much a request counts for the placement of models by the time within which it is due. */
function getTimeWeight({ route }: ForwardRecord): number {
  const weight = REFERENCE_OBJECTIVE_MS / Math.max(1, route.objectiveMs);
  return Math.min(MAX_TIME_WEIGHT, Math.max(1 / MAX_TIME_WEIGHT, weight));
}

function refuseForRate(
  state: EntryState,
  record: ForwardRecord,
  waitMs: number,
  nowMs: number,
): EntryCommand[] {
  const retryMs = Math.min(MAX_RATE_RETRY_MS, Math.max(MIN_RATE_RETRY_MS, waitMs));
  const { name } = record.workspace!;
  const diagnostic = createDiagnostic(Diagnostics.RateExceeded, name, record.costTokens);
  const bucket = getRateBucket(state, record.workspace!, nowMs);
  return [
    createEntryLog(LogLevel.Info, EntryPart.Rate, 'A workspace is over its rate on this VM.', {
      ...describeRecord(record, nowMs),
      costTokens: record.costTokens,
      levelTokens: Math.round(bucket.levelTokens),
      capacityTokens: Math.round(bucket.capacityTokens),
      vmTokensPerSecond: Math.round(bucket.rateTokensPerSecond),
      workspaceTokensPerSecond: record.workspace!.rateTokensPerSecond,
      demandTokensPerSecond: Math.round(getDemand(state.workspaceDemand, name, nowMs)),
      lenders: record.lenders.join(' '),
      retryMs: Math.round(retryMs),
    }),
    ...refuseForward(state, record, diagnostic, nowMs, retryMs),
  ];
}

/** Takes a request's cost from its workspace's rate and sends it on; else asks another VM, or refuses it. */
function chargeForward(state: EntryState, record: ForwardRecord, nowMs: number): EntryCommand[] {
  const { costTokens, request, workspace } = record;
  const waitMs = workspace === null ? null : takeRate(state, workspace, costTokens, nowMs);
  if (waitMs !== null) {
    return askForLoan(state, record, nowMs) ?? refuseForRate(state, record, waitMs, nowMs);
  }
  record.isCharged = true;
  if (request.model !== null) {
    const key = getDemandKey(record);
    addDemand(state.modelDemand, key, costTokens, nowMs);
    addDemand(state.modelValue, key, costTokens * getTimeWeight(record), nowMs);
  }
  return startForward(state, record, nowMs);
}

/** Admits a request and sends it on, or refuses it. */
export function handleRequestArrived(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.RequestArrived>,
  nowMs: number,
): EntryCommand[] {
  const { request } = event;
  return admit(state, request).caseOf<EntryCommand[]>({
    Left: (diagnostic) => refuseArrival(state, request, diagnostic),
    Right: (admission) => {
      const record = createForward(request, admission, nowMs);
      const { costTokens, workspace } = record;
      const { requestId } = request;
      state.requests.set(requestId, record);
      if (workspace !== null) {
        addDemand(state.workspaceDemand, workspace.name, costTokens, nowMs);
      }
      return [
        createEntryTimer(getDueTimerId(requestId), record.endsAtMs - nowMs, {
          kind: EntryEventKind.RequestDue,
          requestId,
        }),
        ...chargeForward(state, record, nowMs),
      ];
    },
  });
}

/** Goes on with a request once another VM has answered whether it lends the tokens. */
export function handleRateLent(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.RateLent>,
  nowMs: number,
): EntryCommand[] {
  takeLoan(state, event, nowMs);
  const record = state.requests.get(event.requestId);
  return record?.phase === ForwardPhase.Charging ? chargeForward(state, record, nowMs) : [];
}

/** Cancels the work for a caller that has gone. */
export function handleCallerLeft(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.CallerLeft>,
  nowMs: number,
): EntryCommand[] {
  const record = state.requests.get(event.requestId);
  if (record === undefined) {
    return [];
  }
  const cancel = cancelAttempt(record);
  record.runClaim = record.phase === ForwardPhase.Dispatched ? RunClaim.Unknown : record.runClaim;
  const end = { outcome: RequestOutcome.Abandoned, diagnostic: null };
  return [...cancel, ...closeForward(state, record, end, nowMs)];
}

/** Ends a request that has taken its whole time. */
export function handleRequestDue(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.RequestDue>,
  nowMs: number,
): EntryCommand[] {
  const record = state.requests.get(event.requestId);
  if (record === undefined) {
    return [];
  }
  const timeMs = record.endsAtMs - record.arrivedAtMs;
  const diagnostic = createDiagnostic(Diagnostics.DeadlineExceeded, timeMs);
  return giveUpForward(state, record, diagnostic, nowMs);
}
