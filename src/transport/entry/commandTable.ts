/**
 * The table that carries out the orders of an entry VM's loop.
 */
import type { Server } from 'node:http';
import { Effect } from 'effect';
import {
  type EntryCommand,
  EntryCommandKind,
  type EntryCommandOf,
  EntryLogPrefix,
} from '../../coordination/entry/commands.js';
import {
  type EntryEvent,
  EntryEventKind,
  EngineOrderOutcome,
} from '../../coordination/entry/events.js';
import type { EntryVmIdentity } from '../../coordination/entry/state.js';
import { LogLevel } from '../../coordination/events.js';
import type { LoopTimers } from '../../coordination/loop.js';
import { DEFAULT_OBJECTIVE } from '../../state/burn.js';
import type { Diagnostic } from '../../state/diagnostics.js';
import type { ControllerLease } from '../controllerLease.js';
import { callHttp } from '../httpCall.js';
import type { Metrics } from '../metrics.js';
import { takeAnswer } from './answers.js';
import { type AttemptContext, startAttempt } from './attempt.js';
import type { EntryLogWriter } from './entryLog.js';
import {
  type EntryPeerClient,
  type EntryReplies,
  NO_LOAN,
  type RateLoan,
  waitForReply,
} from './entryPeers.js';
import {
  abortForwardAnswer,
  type ForwardExchange,
  sendForwardRefusal,
  sendUnframedAnswer,
  sendWholeAnswer,
} from './exchange.js';
import { applyLimits } from './forwardServer.js';
import { EntryKey } from './storeKeys.js';
import { takeBackends, takeConfiguration, type WatchContext } from './storeWatches.js';
import type { SuspensionWatch } from './suspension.js';
import type { EntryWire } from './wire.js';

/** An engine answers an order within milliseconds; one that is silent has been cut off or is late. */
const ENGINE_TIMEOUT_MS = 1_000;
/** The controller answers after the orders for an adapter, or says that there is none. */
const LOCAL_ADAPTER_TIMEOUT_MS = 2_000;
const HTTP_OK = 200;

/** What orders are carried out with. */
export interface EntryCommandContext {
  readonly self: EntryVmIdentity;
  readonly post: (event: EntryEvent) => void;
  readonly wire: EntryWire;
  readonly exchanges: Map<string, ForwardExchange>;
  readonly attempts: AttemptContext;
  readonly peers: EntryPeerClient;
  readonly replies: EntryReplies;
  readonly createReplyId: () => string;
  readonly watches: WatchContext;
  readonly controllerLease: ControllerLease;
  readonly controllerLeaseMs: number;
  readonly suspension: SuspensionWatch;
  readonly getNowMs: () => number;
  readonly metrics: Metrics;
  readonly writeLog: EntryLogWriter;
  readonly server: Server;
  readonly setLimits: (limits: EntryCommandOf<typeof EntryCommandKind.SetLimits>['limits']) => void;
  readonly setReady: (isReady: boolean) => void;
  readonly stopAccepting: () => void;
  readonly exit: () => void;
}

type TimerKind = typeof EntryCommandKind.StartTimer | typeof EntryCommandKind.CancelTimer;
type Executor<K extends EntryCommandKind> = (command: EntryCommandOf<K>) => void;
type ExecutorTable = { readonly [K in Exclude<EntryCommandKind, TimerKind>]: Executor<K> };
type RequestKind =
  | typeof EntryCommandKind.Dispatch
  | typeof EntryCommandKind.CancelAttempt
  | typeof EntryCommandKind.DeliverAnswer
  | typeof EntryCommandKind.Refuse
  | typeof EntryCommandKind.AbortAnswer
  | typeof EntryCommandKind.RecordRequest;
type PeerKind =
  | typeof EntryCommandKind.SendPeerMessage
  | typeof EntryCommandKind.ReplyToPeer
  | typeof EntryCommandKind.FetchFromPeer
  | typeof EntryCommandKind.RequestAdapter
  | typeof EntryCommandKind.ReplyToAdapterRequest
  | typeof EntryCommandKind.RequestLoan
  | typeof EntryCommandKind.ReplyToLoanRequest;
type PlacementKind =
  | typeof EntryCommandKind.AcquireControllerLease
  | typeof EntryCommandKind.RenewControllerLease
  | typeof EntryCommandKind.ReleaseControllerLease
  | typeof EntryCommandKind.SendOrder
  | typeof EntryCommandKind.ReadEngineReport;
type LifecycleKind = Exclude<EntryCommandKind, TimerKind | RequestKind | PeerKind | PlacementKind>;

function runDetached<A>(effect: Effect.Effect<A>): void {
  Effect.runFork(effect);
}

function createRequestExecutors(context: EntryCommandContext): Pick<ExecutorTable, RequestKind> {
  const { attempts, exchanges, getNowMs, metrics, wire } = context;
  return {
    [EntryCommandKind.Dispatch]: (command) => {
      const exchange = exchanges.get(command.requestId);
      if (exchange !== undefined) {
        startAttempt(command, exchange, attempts, takeAnswer);
      }
    },
    [EntryCommandKind.CancelAttempt]: ({ attempt, requestId }) => {
      const cancel = exchanges.get(requestId)?.cancel ?? null;
      if (cancel?.attempt === attempt) {
        cancel.run();
      }
    },
    [EntryCommandKind.DeliverAnswer]: ({ attempt, requestId }) => {
      const exchange = exchanges.get(requestId);
      if (exchange?.held?.attempt === attempt) {
        const { body, headers, isFramed, status } = exchange.held;
        const send = isFramed ? sendWholeAnswer : sendUnframedAnswer;
        send(exchange, status, headers, body);
      }
    },
    [EntryCommandKind.Refuse]: ({ refusal, requestId }) => {
      const exchange = exchanges.get(requestId);
      if (exchange !== undefined) {
        sendForwardRefusal(exchange, refusal, wire);
      }
    },
    [EntryCommandKind.AbortAnswer]: ({ refusal, requestId }) => {
      const exchange = exchanges.get(requestId);
      if (exchange !== undefined) {
        abortForwardAnswer(exchange, refusal, wire);
      }
    },
    [EntryCommandKind.RecordRequest]: ({ measure, requestId }) => {
      metrics.record(measure, DEFAULT_OBJECTIVE, getNowMs());
      exchanges.delete(requestId);
    },
  };
}

function createPeerExecutors(context: EntryCommandContext): Pick<ExecutorTable, PeerKind> {
  const { createReplyId, peers, post, replies, self, suspension, watches, writeLog } = context;
  const logUnreached = (peerAddress: string, { key: reason }: Diagnostic): void => {
    writeLog(LogLevel.Debug, EntryLogPrefix.Peer, 'A peer did not answer.', {
      peerAddress,
      reason,
    });
  };
  const openFetches = new Set<string>();
  return {
    [EntryCommandKind.SendPeerMessage]: ({ board, peerAddress, reports }) => {
      const exchange = peers.exchange(peerAddress, { reports, board });
      runDetached(
        Effect.match(exchange, {
          onFailure: (diagnostic) => logUnreached(peerAddress, diagnostic),
          onSuccess: (news) => post({ kind: EntryEventKind.PeerMessage, ...news, replyId: null }),
        }),
      );
    },
    [EntryCommandKind.ReplyToPeer]: ({ board, replyId, reports }) => {
      replies.news.get(replyId)?.({ reports, board });
    },
    [EntryCommandKind.FetchFromPeer]: ({ peerAddress }) => {
      if (openFetches.has(peerAddress)) {
        return;
      }
      openFetches.add(peerAddress);
      runDetached(
        Effect.match(peers.fetchState(peerAddress), {
          onFailure: (diagnostic) => {
            openFetches.delete(peerAddress);
            logUnreached(peerAddress, diagnostic);
          },
          onSuccess: ({ backends, backendsRevision: revision, configuration }) => {
            openFetches.delete(peerAddress);
            if (configuration !== undefined) {
              takeConfiguration(watches, configuration, peerAddress);
            }
            if (revision > 0) {
              takeBackends(watches, { items: backends, revision }, true, peerAddress);
            }
          },
        }),
      );
    },
    [EntryCommandKind.RequestAdapter]: ({ peerAddress, ...question }) => {
      const { adapter, failureDomain, model, service } = question;
      const replyId = createReplyId();
      const askSelf = Effect.promise(() => {
        const reply = waitForReply(replies.adapters, replyId, LOCAL_ADAPTER_TIMEOUT_MS, null);
        const kind = EntryEventKind.AdapterRequested;
        post({ kind, service, model, adapter, failureDomain, replyId });
        return reply;
      });
      const isSelf = peerAddress === self.peerAddress;
      const ask = isSelf
        ? askSelf
        : peers.ensureAdapter(peerAddress, { adapter, failureDomain, model, service });
      const kind = EntryEventKind.AdapterRequestAnswered;
      runDetached(
        Effect.match(ask, {
          onFailure: (diagnostic) => {
            logUnreached(peerAddress, diagnostic);
            post({ kind, service, model, adapter, backendId: null });
          },
          onSuccess: (backendId) => post({ kind, service, model, adapter, backendId }),
        }),
      );
    },
    [EntryCommandKind.ReplyToAdapterRequest]: ({ backendId, delayMs, replyId }) => {
      const answer = (): void => replies.adapters.get(replyId)?.(backendId);
      if (delayMs > 0) {
        setTimeout(answer, delayMs);
      } else {
        answer();
      }
    },
    [EntryCommandKind.RequestLoan]: ({ peerAddress, requestId, tokens, vmId, workspace }) => {
      const kind = EntryEventKind.LoanAnswered;
      const take = (loan: RateLoan): void => post({ kind, requestId, vmId, workspace, ...loan });
      runDetached(
        Effect.match(peers.borrowRate(peerAddress, workspace, tokens), {
          onFailure: (diagnostic) => {
            logUnreached(peerAddress, diagnostic);
            take(NO_LOAN);
          },
          // What was lent before this VM was suspended belongs to an earlier time.
          onSuccess: (loan) => take(suspension.check() > 0 ? NO_LOAN : loan),
        }),
      );
    },
    [EntryCommandKind.ReplyToLoanRequest]: ({ replyId, ...loan }) => {
      replies.loans.get(replyId)?.(loan);
    },
  };
}

function createPlacementExecutors(
  context: EntryCommandContext,
): Pick<ExecutorTable, PlacementKind> {
  const { controllerLease, controllerLeaseMs, getNowMs, post, self, suspension, wire } = context;
  const keep = (isHeld: boolean): void => {
    const sentAtMs = getNowMs();
    const lease = controllerLease.keep(EntryKey.ControllerScope, controllerLeaseMs, isHeld);
    const kind = EntryEventKind.ControllerLeaseAnswered;
    runDetached(Effect.map(lease, (result) => post({ kind, ...result, sentAtMs })));
  };
  return {
    [EntryCommandKind.AcquireControllerLease]: () => keep(false),
    [EntryCommandKind.RenewControllerLease]: () => keep(true),
    [EntryCommandKind.ReleaseControllerLease]: () => runDetached(controllerLease.release),
    [EntryCommandKind.SendOrder]: ({ address, backendId, fence, order, validUntilMs }) => {
      const kind = EntryEventKind.OrderAnswered;
      const isLate = suspension.check() > 0 || getNowMs() >= validUntilMs;
      if (isLate) {
        post({ kind, backendId, order, outcome: EngineOrderOutcome.Rejected });
        return;
      }
      const call = callHttp({
        address,
        method: 'POST',
        path: wire.engineOrderPath,
        body: wire.encodeEngineOrder(order, self.vmId, fence),
        headers: wire.encodeEngineOrderHead(backendId),
        timeoutMs: ENGINE_TIMEOUT_MS,
        isFresh: true,
      });
      runDetached(
        Effect.match(call, {
          onFailure: ({ mayHaveRun }) => {
            const { Rejected, Unknown } = EngineOrderOutcome;
            post({ kind, backendId, order, outcome: mayHaveRun ? Unknown : Rejected });
          },
          onSuccess: ({ status }) =>
            post({ kind, backendId, order, outcome: wire.decodeEngineOrderStatus(status) }),
        }),
      );
    },
    [EntryCommandKind.ReadEngineReport]: ({ address, backendId }) => {
      const kind = EntryEventKind.EngineReported;
      const call = callHttp({
        address,
        method: 'GET',
        path: wire.engineReportPath,
        body: null,
        headers: wire.encodeEngineOrderHead(backendId),
        timeoutMs: ENGINE_TIMEOUT_MS,
      });
      runDetached(
        Effect.match(call, {
          onFailure: () => post({ kind, backendId, report: null }),
          onSuccess: ({ status, text }) => {
            const report =
              status === HTTP_OK ? wire.decodeEngineReport(text).toMaybe().extractNullable() : null;
            post({ kind, backendId, report });
          },
        }),
      );
    },
  };
}

function createLifecycleExecutors(
  context: EntryCommandContext,
): Pick<ExecutorTable, LifecycleKind> {
  const { exit, server, setLimits, setReady, stopAccepting, writeLog } = context;
  return {
    [EntryCommandKind.SetLimits]: ({ limits }) => {
      applyLimits(server, limits);
      setLimits(limits);
    },
    [EntryCommandKind.SetReady]: ({ isReady }) => setReady(isReady),
    [EntryCommandKind.StopAccepting]: stopAccepting,
    [EntryCommandKind.Exit]: exit,
    [EntryCommandKind.Log]: ({ fields, level, part, text }) => writeLog(level, part, text, fields),
  };
}

/** Carries out one order. */
export type EntryExecute = (command: EntryCommand, timers: LoopTimers<EntryEvent>) => void;

/** Creates what carries out the loop's orders. */
export function createEntryExecute(context: EntryCommandContext): EntryExecute {
  const executors: ExecutorTable = {
    ...createRequestExecutors(context),
    ...createPeerExecutors(context),
    ...createPlacementExecutors(context),
    ...createLifecycleExecutors(context),
  };
  let table: { readonly [K in EntryCommandKind]: Executor<K> } | null = null;
  const run = <K extends EntryCommandKind>(
    executor: Executor<K>,
    command: EntryCommandOf<K>,
  ): void => executor(command);
  return (command, timers) => {
    table ??= {
      ...executors,
      [EntryCommandKind.StartTimer]: ({ delayMs, event, timerId }) =>
        timers.start(timerId, delayMs, event),
      [EntryCommandKind.CancelTimer]: ({ timerId }) => timers.cancel(timerId),
    };
    run(table[command.kind] as Executor<EntryCommandKind>, command);
  };
}
