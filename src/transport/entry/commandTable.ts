/**
 * Executes the commands of an entry VM's event loop, with a table of executors by kind of command.
 */
import { Effect } from 'effect';
import {
  type EntryCommand,
  EntryCommandKind,
  type EntryCommandOf,
  EntryLogPrefix,
} from '../../coordination/entry/commands.js';
import { type EntryEvent, EntryEventKind, ProbeOutcome } from '../../coordination/entry/events.js';
import { StoreRequest } from '../../coordination/entry/peerMessage.js';
import { PeerCallPurpose } from '../../coordination/entry/exchange/peerCallPurpose.js';
import { LogLevel } from '../../coordination/events.js';
import type { LoopTimers } from '../../coordination/loop.js';
import { DEFAULT_OBJECTIVE } from '../../state/burn.js';
import type { StoreReply } from '../../protocol/entry/peerMessages.js';
import type { Diagnostic } from '../../state/diagnostics.js';
import { handleAnswer } from './servers/answers.js';
import { startAttempt } from './servers/attempt.js';
import { probeAddress } from './servers/backendProbe.js';
import {
  type EntryCommandContext,
  type Executor,
  type ExecutorTable,
  type TimerKind,
} from './commandContext.js';
import { runDetached } from './defects.js';
import { NO_LOAN, type RateLoan, waitForReply } from './peers/entryPeers.js';
import { abortForwardAnswer, sendForwardRefusal, sendWholeAnswer } from './callers/exchange.js';
import { applyCallerTimeouts } from './callers/forwardServer.js';
import { createPlacementExecutors, type PlacementKind } from './placementExecutors.js';
import { applyStoreUpdate } from './store/storeWatches.js';
import {
  createStreamOriginExecutors,
  type StreamOriginKind,
} from './store/streamOriginExecutors.js';

/**
 * Timeout of an adapter request to this VM as the controller. The controller replies when the engine has accepted the
 * orders for the adapter, or when no engine can load it.
 */
const LOCAL_ADAPTER_TIMEOUT_MS = 2_000;
/**
 * Answers of other VMs that were read later than this after the call grant nothing: this VM was suspended or frozen, and
 * found them when it went on.
 */
const MAX_GRANT_AGE_MS = 1_000;

type RequestKind =
  | typeof EntryCommandKind.Dispatch
  | typeof EntryCommandKind.Pass
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
type LifecycleKind = Exclude<
  EntryCommandKind,
  TimerKind | RequestKind | PeerKind | PlacementKind | StreamOriginKind
>;

function createRequestExecutors(context: EntryCommandContext): Pick<ExecutorTable, RequestKind> {
  const { attempts, exchanges, getNowMs, metrics, wire, writeLog } = context;
  return {
    [EntryCommandKind.Dispatch]: (command) => {
      const exchange = exchanges.get(command.requestId);
      if (exchange !== undefined) {
        startAttempt(command, exchange, attempts, handleAnswer);
      }
    },
    [EntryCommandKind.Pass]: (command) => {
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
        const { body, headers, status } = exchange.bufferedAnswer;
        sendWholeAnswer(exchange, status, headers, body);
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
      const report = (outcome: ProbeOutcome): void => attempts.post({ kind, processKey, outcome });
      runDetached(Effect.map(probeAddress(address), report), writeLog, () =>
        report(ProbeOutcome.Unknown),
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
  const { peerCalls, registration, storeAccess } = context;
  const logUnansweredCall = (peerAddress: string, { key: reason }: Diagnostic): void => {
    writeLog(LogLevel.Debug, EntryLogPrefix.Peer, 'A peer did not answer.', {
      peerAddress,
      reason,
    });
  };
  /** Records an answer of the relay. Its contents have aged by the time of the call, which may have been read late. */
  const recordRelayAnswer = (vmId: string, store: StoreReply, callMs: number): void => {
    const ageMs = store.ageMs + callMs;
    if (!store.isCurrent || ageMs >= watches.getMaxStoreAgeMs()) {
      post({ kind: EntryEventKind.PeerCallFailed, vmId });
    } else {
      storeAccess.recordRelayed(ageMs);
      if (store.knownAgeMs !== undefined) {
        storeAccess.recordKnown(store.knownAgeMs + callMs);
      }
      post({ kind: EntryEventKind.StoreReachabilityRead, isReachable: true, ageMs });
    }
  };
  return {
    [EntryCommandKind.SendPeerMessage]: (command) => {
      const { message, peerAddress, purpose, storeRequest, vmId } = command;
      peerCalls.add(purpose);
      const storeAfter = storeRequest === StoreRequest.None ? null : watches.mirror.revision;
      const getAgeMs = suspension.startStopwatch();
      const postFailure = (): void => post({ kind: EntryEventKind.PeerCallFailed, vmId });
      runDetached(
        Effect.match(peers.exchange(peerAddress, message, storeAfter), {
          onFailure: (diagnostic) => {
            logUnansweredCall(peerAddress, diagnostic);
            postFailure();
          },
          onSuccess: ({ message: reply, store }) => {
            if (store.changes !== null) {
              applyStoreUpdate(watches, store.changes, peerAddress);
            }
            post({ kind: EntryEventKind.PeerMessage, message: reply, replyId: null });
            if (storeRequest === StoreRequest.Relay) {
              recordRelayAnswer(vmId, store, getAgeMs());
            }
          },
        }),
        writeLog,
        postFailure,
      );
    },
    [EntryCommandKind.ReplyToPeer]: ({ message, replyId }) => {
      replies.exchanges.get(replyId)?.(message);
    },
    [EntryCommandKind.SetStoreAccess]: ({ isReader }) => storeAccess.setReader(isReader),
    [EntryCommandKind.RenewRegistration]: registration.renew,
    [EntryCommandKind.RequestAdapter]: ({ need, peerAddress }) => {
      const { adapter, model, service } = need;
      const replyId = createReplyId();
      const localCall = Effect.promise(() => {
        const reply = waitForReply(replies.adapters, replyId, LOCAL_ADAPTER_TIMEOUT_MS, null);
        const kind = EntryEventKind.AdapterRequested;
        post({ kind, need, replyId });
        return reply;
      });
      const isSelf = peerAddress === self.peerAddress;
      peerCalls.add(PeerCallPurpose.Adapter);
      const call = isSelf ? localCall : peers.ensureAdapter(peerAddress, need);
      const kind = EntryEventKind.AdapterRequestAnswered;
      const report = (backendId: string | null): void =>
        post({ kind, service, model, adapter, backendId });
      runDetached(
        Effect.match(call, {
          onFailure: (diagnostic) => {
            logUnansweredCall(peerAddress, diagnostic);
            report(null);
          },
          onSuccess: report,
        }),
        writeLog,
        () => report(null),
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
      peerCalls.add(PeerCallPurpose.Loan);
      const postLoan = (loan: RateLoan): void => post({ kind, requestId, vmId, limit, ...loan });
      const getAgeMs = suspension.startStopwatch();
      runDetached(
        Effect.match(peers.requestLoan(peerAddress, limit, tokens), {
          onFailure: (diagnostic) => {
            logUnansweredCall(peerAddress, diagnostic);
            postLoan(NO_LOAN);
          },
          onSuccess: (loan) => postLoan(getAgeMs() > MAX_GRANT_AGE_MS ? NO_LOAN : loan),
        }),
        writeLog,
        () => postLoan(NO_LOAN),
      );
    },
    [EntryCommandKind.ReplyToLoanRequest]: ({ replyId, ...loan }) => {
      replies.loans.get(replyId)?.(loan);
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
    ...createStreamOriginExecutors(context),
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
