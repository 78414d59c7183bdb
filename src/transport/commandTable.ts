/**
 * The table of handlers that execute the commands of the event loop. A command's result is posted back
 * to the loop as an event.
 */
import { Effect, type Schema } from 'effect';
import { type Either, Right } from 'purify-ts';
import { CommandKind, EventKind, type VmEvent, OrderOutcome } from '../coordination/events.js';
import type { CommandTable } from '../coordination/loop.js';
import type { VmIdentity } from '../coordination/vmState.js';
import {
  decodeLoadReport,
  encodeOrder,
  ENGINE_LOAD_PATH,
  ENGINE_ORDERS_PATH,
} from '../protocol/engine.js';
import { decodeJson } from '../protocol/json.js';
import type { StoredValue } from '../protocol/storeMessages.js';
import type { Diagnostic } from '../state/diagnostics.js';
import { EMPTY_PLAN, type PlacementPlan, PlacementPlanSchema } from '../state/placementPlan.js';
import { EMPTY_SHARE_TABLE, type ShareTable, ShareTableSchema } from '../state/shareTable.js';
import { type Objective, TargetKind } from '../state/types.js';
import type { Claims } from './claims.js';
import type { ControllerLease } from './controllerLease.js';
import type { ConfigurationSource } from './configurationSource.js';
import type { DispatchContext } from './dispatch.js';
import { abortAnswer, type Exchange, sendRefusal, sendCompleteAnswer } from './exchange.js';
import { callHttp } from './httpCall.js';
import type { WriteLog } from './logger.js';
import type { Metrics } from './metrics.js';
import { dispatchToModel } from './modelDispatch.js';
import type { PeerClient, PendingReplies } from './peers.js';
import { dispatchToRoute } from './routeDispatch.js';
import type { EtcdStore } from './etcdStore.js';

const SHARES_KEY = 'shares';
const ENGINE_CALL_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;

const ORDER_OUTCOME_BY_STATUS: ReadonlyMap<number, OrderOutcome> = new Map<number, OrderOutcome>([
  [HTTP_OK, OrderOutcome.Accepted],
  [HTTP_CONFLICT, OrderOutcome.Fenced],
]);

/** Dependencies of the command handlers. */
export interface CommandContext {
  readonly self: VmIdentity;
  readonly post: (event: VmEvent) => void;
  readonly exchanges: Map<string, Exchange>;
  readonly dispatch: DispatchContext;
  readonly claims: Claims;
  readonly controllerLease: ControllerLease;
  readonly store: EtcdStore;
  readonly peers: PeerClient;
  readonly replies: PendingReplies;
  readonly configurationSource: ConfigurationSource;
  readonly metrics: Metrics;
  readonly getObjective: (workspace: string) => Objective;
  readonly writeLog: WriteLog;
  readonly setReady: (isReady: boolean) => void;
  readonly exit: () => void;
}

function runDetached<A>(effect: Effect.Effect<A>): void {
  Effect.runFork(effect);
}

/** Decodes a stored value. One that cannot be read is not taken for an absent one, which would free what it holds. */
function decodeStored<T, E>(
  schema: Schema.Codec<T, E>,
  stored: StoredValue | null,
  absentValue: T,
): Either<Diagnostic, T> {
  return stored === null ? Right(absentValue) : decodeJson(schema, stored.value);
}

function createShareExecutors({
  post,
  store,
}: CommandContext): Pick<
  CommandTable,
  typeof CommandKind.ReadShareTable | typeof CommandKind.WriteShareTable
> {
  const postFailure = (diagnostic: Diagnostic): void => {
    post({ kind: EventKind.StoreFailed, diagnostic });
  };
  const readShareTable = Effect.match(store.get(SHARES_KEY), {
    onFailure: postFailure,
    onSuccess: (stored) =>
      decodeStored<ShareTable, unknown>(ShareTableSchema, stored, EMPTY_SHARE_TABLE).caseOf({
        Left: postFailure,
        Right: (table) =>
          post({ kind: EventKind.ShareTableRead, table, version: stored?.version ?? 0 }),
      }),
  });
  const readVmList = Effect.match(store.listVms, {
    onFailure: () => {},
    onSuccess: (vms) => post({ kind: EventKind.VmListRead, vms }),
  });
  return {
    [CommandKind.ReadShareTable]: () => runDetached(Effect.andThen(readShareTable, readVmList)),
    [CommandKind.WriteShareTable]: ({ expectedVersion, table }) => {
      const value = JSON.stringify(table);
      const swap = store.compareAndSwap({ key: SHARES_KEY, expectedVersion, value, leaseId: null });
      runDetached(
        Effect.match(swap, {
          onFailure: () => post({ kind: EventKind.ShareWriteAnswered, table, version: null }),
          onSuccess: (version) => post({ kind: EventKind.ShareWriteAnswered, table, version }),
        }),
      );
    },
  };
}

type PeerCommandKind =
  | typeof CommandKind.RequestLoan
  | typeof CommandKind.ReplyToLoanRequest
  | typeof CommandKind.SendGossip
  | typeof CommandKind.ReplyToGossip
  | typeof CommandKind.FetchConfiguration;

function createPeerExecutors({
  peers,
  post,
  replies,
  self,
  configurationSource,
}: CommandContext): Pick<CommandTable, PeerCommandKind> {
  return {
    [CommandKind.RequestLoan]: (command) => {
      const { askedAtMs, peerVmId, requestId, spendWithinMs, workspace } = command;
      const postAnswer = (grantedTokens: number, leftTokens: number | null): void => {
        const kind = EventKind.LoanAnswered;
        post({
          kind,
          requestId,
          peerVmId,
          workspace,
          askedAtMs,
          spendWithinMs,
          grantedTokens,
          leftTokens,
        });
      };
      runDetached(
        Effect.match(peers.requestLoan(command, self.vmId), {
          onFailure: () => postAnswer(0, null),
          onSuccess: ({ grantedTokens, leftTokens }) => postAnswer(grantedTokens, leftTokens),
        }),
      );
    },
    [CommandKind.ReplyToLoanRequest]: ({ grantedTokens, leftTokens, loanId }) => {
      replies.loans.get(loanId)?.({ grantedTokens, leftTokens });
    },
    [CommandKind.SendGossip]: ({ message, peerAddress }) => {
      runDetached(
        Effect.match(peers.gossip(peerAddress, message), {
          onFailure: () => {},
          onSuccess: (reply) =>
            post({ kind: EventKind.GossipReceived, message: reply, replyId: null }),
        }),
      );
    },
    [CommandKind.ReplyToGossip]: ({ message, replyId }) => {
      replies.gossip.get(replyId)?.(message);
    },
    [CommandKind.FetchConfiguration]: ({ aboveRevision, peerAddress }) => {
      runDetached(
        Effect.matchEffect(peers.fetchConfiguration(peerAddress, aboveRevision), {
          onFailure: () => Effect.void,
          onSuccess: (revision) =>
            revision === null
              ? Effect.void
              : configurationSource.offer(revision.head, revision.blobs),
        }),
      );
    },
  };
}

type RequestCommandKind =
  | typeof CommandKind.Dispatch
  | typeof CommandKind.CancelDispatch
  | typeof CommandKind.Refuse
  | typeof CommandKind.AbortAnswer
  | typeof CommandKind.ClaimIdempotencyKey
  | typeof CommandKind.EndClaim
  | typeof CommandKind.ReplayAnswer;

function createRequestExecutors(context: CommandContext): Pick<CommandTable, RequestCommandKind> {
  const { claims, exchanges, post } = context;
  const withExchange = (requestId: string, handle: (exchange: Exchange) => void): void => {
    const exchange = exchanges.get(requestId);
    if (exchange !== undefined) {
      handle(exchange);
    }
  };
  return {
    [CommandKind.Dispatch]: (command) =>
      withExchange(command.requestId, (exchange) => {
        if (exchange.info.target.kind === TargetKind.Model && exchange.completion !== null) {
          dispatchToModel(command, exchange, exchange.completion, context.dispatch);
        } else {
          dispatchToRoute(command, exchange, context.dispatch);
        }
      }),
    [CommandKind.CancelDispatch]: ({ requestId }) =>
      withExchange(requestId, (exchange) => {
        exchange.cancelDispatch?.();
        exchange.cancelDispatch = null;
      }),
    [CommandKind.Refuse]: ({ refusal, requestId }) =>
      withExchange(requestId, (exchange) => sendRefusal(exchange, refusal)),
    [CommandKind.AbortAnswer]: ({ refusal, requestId }) =>
      withExchange(requestId, (exchange) => abortAnswer(exchange, refusal)),
    [CommandKind.ClaimIdempotencyKey]: ({ claimId, requestId }) => {
      runDetached(
        Effect.map(claims.claim(claimId), ({ answer, outcome }) => {
          withExchange(requestId, (exchange) => {
            exchange.bufferedAnswer = answer;
          });
          post({ kind: EventKind.ClaimAnswered, requestId, outcome, claimId });
        }),
      );
    },
    [CommandKind.EndClaim]: ({ claimId, isAnswered, requestId, run }) => {
      const answer = isAnswered ? (exchanges.get(requestId)?.bufferedAnswer ?? null) : null;
      runDetached(claims.end(claimId, run, answer));
    },
    [CommandKind.ReplayAnswer]: ({ requestId }) =>
      withExchange(requestId, (exchange) => {
        const { bufferedAnswer } = exchange;
        if (bufferedAnswer !== null) {
          sendCompleteAnswer(
            exchange,
            bufferedAnswer.status,
            bufferedAnswer.headers,
            bufferedAnswer.body,
          );
        }
      }),
  };
}

function pollLoad(post: (event: VmEvent) => void, server: string, address: string): void {
  const call = callHttp({
    address,
    method: 'GET',
    path: ENGINE_LOAD_PATH,
    body: null,
    timeoutMs: ENGINE_CALL_TIMEOUT_MS,
  });
  const postFailure = (): void => post({ kind: EventKind.LoadPollFailed, server });
  runDetached(
    Effect.match(call, {
      onFailure: postFailure,
      onSuccess: ({ status, text }) => {
        if (status !== HTTP_OK) {
          postFailure();
          return;
        }
        decodeLoadReport(text).caseOf({
          Left: postFailure,
          Right: (report) => post({ kind: EventKind.LoadReported, server, report }),
        });
      },
    }),
  );
}

type PlacementCommandKind =
  | typeof CommandKind.AcquireOrRenewControllerLease
  | typeof CommandKind.ReadPlan
  | typeof CommandKind.WritePlan
  | typeof CommandKind.SendOrder;

function createPlacementExecutors({
  controllerLease,
  post,
  store,
}: CommandContext): Pick<CommandTable, PlacementCommandKind> {
  const getPlanKey = (failureDomain: string): string => `plans/${failureDomain}`;
  const postFailure = (diagnostic: Diagnostic): void => {
    post({ kind: EventKind.StoreFailed, diagnostic });
  };
  return {
    [CommandKind.AcquireOrRenewControllerLease]: ({ failureDomain, isHeld, sentAtMs, ttlMs }) => {
      runDetached(
        Effect.map(controllerLease.acquireOrRenew(failureDomain, ttlMs, isHeld), (result) =>
          post({ kind: EventKind.ControllerLeaseAnswered, sentAtMs, ...result }),
        ),
      );
    },
    [CommandKind.ReadPlan]: ({ failureDomain }) => {
      runDetached(
        Effect.match(store.get(getPlanKey(failureDomain)), {
          onFailure: postFailure,
          onSuccess: (stored) =>
            decodeStored<PlacementPlan, unknown>(PlacementPlanSchema, stored, EMPTY_PLAN).caseOf({
              Left: postFailure,
              Right: (plan) =>
                post({ kind: EventKind.PlanRead, plan, version: stored?.version ?? 0 }),
            }),
        }),
      );
    },
    [CommandKind.WritePlan]: ({ expectedVersion, failureDomain, plan }) => {
      const key = getPlanKey(failureDomain);
      const swap = store.compareAndSwap({
        key,
        expectedVersion,
        value: JSON.stringify(plan),
        leaseId: null,
      });
      runDetached(
        Effect.match(swap, {
          onFailure: () => post({ kind: EventKind.PlanWriteAnswered, plan, version: null }),
          onSuccess: (version) => post({ kind: EventKind.PlanWriteAnswered, plan, version }),
        }),
      );
    },
    [CommandKind.SendOrder]: ({ address, fence, order, server }) => {
      const call = callHttp({
        address,
        method: 'POST',
        path: ENGINE_ORDERS_PATH,
        body: encodeOrder(order, fence),
        timeoutMs: ENGINE_CALL_TIMEOUT_MS,
      });
      const postOutcome = (outcome: OrderOutcome): void =>
        post({ kind: EventKind.OrderAnswered, server, orderId: order.orderId, fence, outcome });
      runDetached(
        Effect.match(call, {
          onFailure: () => postOutcome(OrderOutcome.Unconfirmed),
          onSuccess: ({ status }) =>
            postOutcome(ORDER_OUTCOME_BY_STATUS.get(status) ?? OrderOutcome.Unconfirmed),
        }),
      );
    },
  };
}

/** Creates the command table of a VM. */
export function createCommandTable(context: CommandContext): CommandTable {
  const { exchanges, exit, metrics, post, setReady, writeLog } = context;
  return {
    ...createRequestExecutors(context),
    ...createPeerExecutors(context),
    ...createShareExecutors(context),
    ...createPlacementExecutors(context),
    [CommandKind.PollLoad]: ({ address, server }) => pollLoad(post, server, address),
    [CommandKind.SetReady]: ({ isReady }) => setReady(isReady),
    [CommandKind.Exit]: exit,
    [CommandKind.Log]: ({ fields, level, part, text }) => writeLog(level, part, text, fields),
    [CommandKind.RecordSpoiledAnswer]: ({ reason, server }) =>
      metrics.recordSpoiledAnswer(server, reason),
    [CommandKind.RecordRequest]: ({ measure, requestId }) => {
      metrics.record(measure, context.getObjective(measure.workspace), context.dispatch.getNowMs());
      exchanges.delete(requestId);
    },
  };
}
