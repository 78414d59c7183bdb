/**
 * Executes the commands of an entry VM's event loop, with a table of executors by kind of command.
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
  StoreRequest,
} from '../../coordination/entry/events.js';
import type { EntryVmIdentity } from '../../coordination/entry/state.js';
import { LogLevel } from '../../coordination/events.js';
import type { LoopTimers } from '../../coordination/loop.js';
import { DEFAULT_OBJECTIVE } from '../../state/burn.js';
import type { Diagnostic } from '../../state/diagnostics.js';
import type { ControllerLease } from '../controllerLease.js';
import { callHttp } from '../httpCall.js';
import type { Metrics } from '../metrics.js';
import { handleAnswer } from './answers.js';
import { type AttemptContext, startAttempt } from './attempt.js';
import { probeAddress } from './backendProbe.js';
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
import { applyCallerTimeouts } from './forwardServer.js';
import { postStatement } from './serverStatements.js';
import { encodeQuarantines, EntryKey } from './storeKeys.js';
import { applyStoreUpdate, type StoreAccess, type WatchContext } from './storeWatches.js';
import type { SuspensionDetector } from './suspensionDetector.js';
import type { VmRegistration } from './vmRegistration.js';
import type { EntryWire } from './wire.js';

/** Engines respond within milliseconds. One that has not responded by then is slow or cut off. */
const ENGINE_TIMEOUT_MS = 1_000;
/**
 * Timeout of an adapter request to this VM as the controller. The controller replies when the engine has accepted the
 * orders for the adapter, or when no engine can load it.
 */
const LOCAL_ADAPTER_TIMEOUT_MS = 2_000;
const HTTP_OK = 200;

/** Dependencies of the executors. */
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
  readonly storeAccess: StoreAccess;
  readonly registration: VmRegistration;
  readonly controllerLease: ControllerLease;
  readonly controllerLeaseMs: number;
  readonly suspension: SuspensionDetector;
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
  | typeof EntryCommandKind.RecallAttempt
  | typeof EntryCommandKind.DeliverAnswer
  | typeof EntryCommandKind.Refuse
  | typeof EntryCommandKind.AbortAnswer
  | typeof EntryCommandKind.ProbeBackend
  | typeof EntryCommandKind.RecordRequest;
type PeerKind =
  | typeof EntryCommandKind.SendPeerMessage
  | typeof EntryCommandKind.ReplyToPeer
  | typeof EntryCommandKind.SetStoreAccess
  | typeof EntryCommandKind.RenewRegistration
  | typeof EntryCommandKind.RequestAdapter
  | typeof EntryCommandKind.ReplyToAdapterRequest
  | typeof EntryCommandKind.RequestLoan
  | typeof EntryCommandKind.ReplyToLoanRequest;
type PlacementKind =
  | typeof EntryCommandKind.AcquireControllerLease
  | typeof EntryCommandKind.RenewControllerLease
  | typeof EntryCommandKind.ReleaseControllerLease
  | typeof EntryCommandKind.SendOrder
  | typeof EntryCommandKind.StoreQuarantines
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
        startAttempt(command, exchange, attempts, handleAnswer);
      }
    },
    [EntryCommandKind.CancelAttempt]: ({ attempt, requestId }) => {
      const cancel = exchanges.get(requestId)?.cancel ?? null;
      if (cancel?.attempt === attempt) {
        cancel.run();
      }
    },
    [EntryCommandKind.RecallAttempt]: ({ attempt, requestId }) => {
      const cancel = exchanges.get(requestId)?.cancel ?? null;
      if (cancel?.attempt === attempt) {
        cancel.recall();
      }
    },
    [EntryCommandKind.DeliverAnswer]: ({ attempt, requestId }) => {
      const exchange = exchanges.get(requestId);
      if (exchange?.bufferedAnswer?.attempt === attempt) {
        const { body, headers, isFramed, status } = exchange.bufferedAnswer;
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
    [EntryCommandKind.ProbeBackend]: ({ address, processKey }) => {
      const kind = EntryEventKind.BackendProbed;
      runDetached(
        Effect.map(probeAddress(address), (outcome) =>
          attempts.post({ kind, processKey, outcome }),
        ),
      );
    },
    [EntryCommandKind.RecordRequest]: ({ measure, requestId }) => {
      metrics.record(measure, DEFAULT_OBJECTIVE, getNowMs());
      exchanges.delete(requestId);
    },
  };
}

function createPeerExecutors(context: EntryCommandContext): Pick<ExecutorTable, PeerKind> {
  const { createReplyId, peers, post, replies, self, suspension, watches, writeLog } = context;
  const { registration, storeAccess } = context;
  const logUnansweredCall = (peerAddress: string, { key: reason }: Diagnostic): void => {
    writeLog(LogLevel.Debug, EntryLogPrefix.Peer, 'A peer did not answer.', {
      peerAddress,
      reason,
    });
  };
  const recordRelayAnswer = (vmId: string, isCurrent: boolean): void => {
    if (isCurrent) {
      storeAccess.recordRelayed();
      post({ kind: EntryEventKind.StoreReachabilityRead, isReachable: true });
    } else {
      post({ kind: EntryEventKind.PeerCallFailed, vmId });
    }
  };
  return {
    [EntryCommandKind.SendPeerMessage]: ({ message, peerAddress, storeRequest, vmId }) => {
      const storeAfter = storeRequest === StoreRequest.None ? null : watches.mirror.revision;
      runDetached(
        Effect.match(peers.exchange(peerAddress, message, storeAfter), {
          onFailure: (diagnostic) => {
            logUnansweredCall(peerAddress, diagnostic);
            post({ kind: EntryEventKind.PeerCallFailed, vmId });
          },
          onSuccess: ({ message: reply, store }) => {
            if (store.changes !== null) {
              applyStoreUpdate(watches, store.changes, peerAddress);
            }
            post({ kind: EntryEventKind.PeerMessage, message: reply, replyId: null });
            if (storeRequest === StoreRequest.Relay) {
              recordRelayAnswer(vmId, store.isCurrent);
            }
          },
        }),
      );
    },
    [EntryCommandKind.ReplyToPeer]: ({ message, replyId }) => {
      replies.exchanges.get(replyId)?.(message);
    },
    [EntryCommandKind.SetStoreAccess]: ({ isReader }) => storeAccess.setReader(isReader),
    [EntryCommandKind.RenewRegistration]: registration.renew,
    [EntryCommandKind.RequestAdapter]: ({ peerAddress, ...request }) => {
      const { adapter, failureDomain, model, service } = request;
      const replyId = createReplyId();
      const localCall = Effect.promise(() => {
        const reply = waitForReply(replies.adapters, replyId, LOCAL_ADAPTER_TIMEOUT_MS, null);
        const kind = EntryEventKind.AdapterRequested;
        post({ kind, service, model, adapter, failureDomain, replyId });
        return reply;
      });
      const isSelf = peerAddress === self.peerAddress;
      const call = isSelf
        ? localCall
        : peers.ensureAdapter(peerAddress, { adapter, failureDomain, model, service });
      const kind = EntryEventKind.AdapterRequestAnswered;
      runDetached(
        Effect.match(call, {
          onFailure: (diagnostic) => {
            logUnansweredCall(peerAddress, diagnostic);
            post({ kind, service, model, adapter, backendId: null });
          },
          onSuccess: (backendId) => post({ kind, service, model, adapter, backendId }),
        }),
      );
    },
    [EntryCommandKind.ReplyToAdapterRequest]: ({ backendId, delayMs, replyId }) => {
      const reply = (): void => replies.adapters.get(replyId)?.(backendId);
      if (delayMs > 0) {
        setTimeout(reply, delayMs);
      } else {
        reply();
      }
    },
    [EntryCommandKind.RequestLoan]: ({ limit, peerAddress, requestId, tokens, vmId }) => {
      const kind = EntryEventKind.LoanAnswered;
      const postLoan = (loan: RateLoan): void => post({ kind, requestId, vmId, limit, ...loan });
      runDetached(
        Effect.match(peers.requestLoan(peerAddress, limit, tokens), {
          onFailure: (diagnostic) => {
            logUnansweredCall(peerAddress, diagnostic);
            postLoan(NO_LOAN);
          },
          // Discards a loan if this VM was suspended: its tokens may belong to a time before the suspension.
          onSuccess: (loan) => postLoan(suspension.check() > 0 ? NO_LOAN : loan),
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
  const { watches, writeLog } = context;
  const logFailedWrite = (reason: string): void => {
    const text = 'The quarantines were not written to the store.';
    writeLog(LogLevel.Info, EntryLogPrefix.Quarantine, text, { reason });
  };
  const acquireOrRenew = (isHeld: boolean): void => {
    const sentAtMs = getNowMs();
    const lease = controllerLease.acquireOrRenew(
      EntryKey.ControllerScope,
      controllerLeaseMs,
      isHeld,
    );
    const kind = EntryEventKind.ControllerLeaseAnswered;
    runDetached(Effect.map(lease, (result) => post({ kind, ...result, sentAtMs })));
  };
  return {
    [EntryCommandKind.AcquireControllerLease]: () => acquireOrRenew(false),
    [EntryCommandKind.RenewControllerLease]: () => acquireOrRenew(true),
    [EntryCommandKind.ReleaseControllerLease]: () => runDetached(controllerLease.release),
    [EntryCommandKind.SendOrder]: (command) => {
      const { address, backendId, bornAtWallMs, fence, order, validUntilMs } = command;
      const kind = EntryEventKind.OrderAnswered;
      const mayBeExpired = suspension.check() > 0 || getNowMs() >= validUntilMs;
      if (mayBeExpired) {
        post({ kind, backendId, order, outcome: EngineOrderOutcome.Rejected });
        return;
      }
      const call = callHttp({
        address,
        method: 'POST',
        path: wire.engineOrderPath,
        body: wire.encodeEngineOrder(order, self.vmId, fence),
        headers: wire.encodeEngineRequestHead(backendId),
        timeoutMs: ENGINE_TIMEOUT_MS,
        usesNewConnection: true,
      });
      runDetached(
        Effect.match(call, {
          onFailure: ({ mayHaveRun }) => {
            const { Rejected, Unknown } = EngineOrderOutcome;
            post({ kind, backendId, order, outcome: mayHaveRun ? Unknown : Rejected });
          },
          onSuccess: ({ headers, status }) => {
            const source = { backendId, bornAtWallMs, requestName: wire.engineOrderPath };
            postStatement(post, wire.decodeServerStatement(status, headers), source);
            post({ kind, backendId, order, outcome: wire.decodeEngineOrderStatus(status) });
          },
        }),
      );
    },
    [EntryCommandKind.StoreQuarantines]: ({ expectedVersion, quarantines }) => {
      const value = encodeQuarantines(quarantines, watches.getWallMs());
      const key = EntryKey.Quarantines;
      const write = watches.store.compareAndSwap({ key, expectedVersion, value, leaseId: null });
      runDetached(
        Effect.match(write, {
          onFailure: ({ key: reason }) => logFailedWrite(reason),
          onSuccess: (version) => {
            if (version === null) {
              logFailedWrite('outdated');
            }
          },
        }),
      );
    },
    [EntryCommandKind.ReadEngineReport]: ({ address, backendId, bornAtWallMs }) => {
      const kind = EntryEventKind.EngineReported;
      const call = callHttp({
        address,
        method: 'GET',
        path: wire.engineReportPath,
        body: null,
        headers: wire.encodeEngineRequestHead(backendId),
        timeoutMs: ENGINE_TIMEOUT_MS,
      });
      runDetached(
        Effect.match(call, {
          onFailure: () => post({ kind, backendId, report: null }),
          onSuccess: ({ headers, status, text }) => {
            const source = { backendId, bornAtWallMs, requestName: wire.engineReportPath };
            postStatement(post, wire.decodeServerStatement(status, headers), source);
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
      applyCallerTimeouts(server, limits);
      setLimits(limits);
    },
    [EntryCommandKind.SetReady]: ({ isReady }) => setReady(isReady),
    [EntryCommandKind.StopAccepting]: stopAccepting,
    [EntryCommandKind.Exit]: exit,
    [EntryCommandKind.Log]: ({ fields, level, part, text }) => writeLog(level, part, text, fields),
  };
}

/** Executes one command. */
export type EntryCommandExecutor = (command: EntryCommand, timers: LoopTimers<EntryEvent>) => void;

/** Creates the function that executes the commands of the event loop. */
export function createEntryCommandExecutor(context: EntryCommandContext): EntryCommandExecutor {
  const executors: ExecutorTable = {
    ...createRequestExecutors(context),
    ...createPeerExecutors(context),
    ...createPlacementExecutors(context),
    ...createLifecycleExecutors(context),
  };
  let table: { readonly [K in EntryCommandKind]: Executor<K> } | null = null;
  const runExecutor = <K extends EntryCommandKind>(
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
    runExecutor(table[command.kind] as Executor<EntryCommandKind>, command);
  };
}
