/**
 * Runs attempts. An attempt is one dispatch of a forwarded request to a backend server, or to another VM. It posts at most one final
 * event to the event loop: its response is buffered, its response is complete, or it failed.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { Either } from 'purify-ts';
import { EntryCommandKind } from '../../../coordination/entry/commands.js';
import { type AttemptFailure, EntryEventKind } from '../../../coordination/entry/events.js';
import type { PassedEnd } from '../../../coordination/entry/passedRequest.js';
import { MAX_TIMER_MS } from '../../../protocol/fieldSchemas.js';
import {
  createDiagnostic,
  type DiagnosticMessage,
  Diagnostics,
} from '../../../state/diagnostics.js';
import { advanceRunState, DispatchSignal } from '../../../state/runState.js';
import { RunState } from '../../../state/types.js';
import { MAX_INFORMATIONAL_RESPONSES } from '../../httpCall.js';
import type { SendCommand } from './attemptCommands.js';
import type { Attempt, AttemptContext } from './attemptState.js';
import { reportStatements } from './answerStatements.js';
import { createRequest, MAX_ANSWER_HEAD_BYTES } from './attemptRequest.js';
import { type ForwardExchange, isAnswerBegun } from '../callers/exchange.js';
import { MAX_FRUITLESS_BYTES, watchFruitlessBytes } from './fruitlessBytes.js';
import { runAfterUnreadData } from '../monitoring/loopDelay.js';
import type { AnswerHead } from '../wire.js';

/** Prefix of the codes of errors that the HTTP parser of Node.js reports. */
const PARSER_ERROR_PREFIX = 'HPE_';
const HEAD_OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW';

/** Advances the run state of an attempt. */
export function advanceAttempt(attempt: Attempt, signal: DispatchSignal): void {
  attempt.runState = advanceRunState(attempt.runState, signal);
}

/** Records that an attempt has made progress, so that it does not count as stalled. */
export function recordProgress(attempt: Attempt): void {
  attempt.progressAtMs = attempt.context.getNowMs();
}

/** Advances the run state of an attempt and records its progress. */
export function recordSignal(attempt: Attempt, signal: DispatchSignal): void {
  advanceAttempt(attempt, signal);
  recordProgress(attempt);
}

/** What the head of a response tells of the failure that it reports. */
type FailureHead = Pick<AnswerHead, 'isRefused' | 'isMisdirected'> & {
  /** Why the VM that the request was passed to has ended it. */
  readonly passedEnd?: PassedEnd;
};

/** Returns the id of the server or VM that an attempt is sent to. */
function getTargetName(command: SendCommand): string {
  return command.kind === EntryCommandKind.Dispatch ? command.backendId : command.vmId;
}

/** Ends an attempt. Returns false if it has already ended. */
function settle(attempt: Attempt): boolean {
  if (attempt.isSettled) {
    return false;
  }
  attempt.isSettled = true;
  if (attempt.stallTimer !== null) {
    clearTimeout(attempt.stallTimer);
  }
  if (attempt.exchange.cancel?.attempt === attempt.command.attempt) {
    attempt.exchange.cancel = null;
  }
  return true;
}

/**
 * Ends an attempt that produced no response to deliver.
 *
 * @param head Headers of the response that reported the failure. Without them, the connection is closed.
 */
export function failAttempt(
  attempt: Attempt,
  message: DiagnosticMessage,
  head: FailureHead | null = null,
  ...details: readonly (number | string)[]
): void {
  const { command, context, exchange, load, runState } = attempt;
  if (!settle(attempt)) {
    return;
  }
  const failure: AttemptFailure = {
    diagnostic: createDiagnostic(message, getTargetName(command), ...details),
    runState,
    isRefusedByServer: head?.isRefused ?? false,
    isMisdirected: head?.isMisdirected ?? false,
  };
  if (head === null) {
    attempt.request?.destroy();
  }
  context.post({
    kind: EntryEventKind.AttemptFailed,
    requestId: command.requestId,
    attempt: command.attempt,
    failure,
    load,
    passedEnd: head?.passedEnd ?? null,
    isAnswerBegun: isAnswerBegun(exchange),
    lastEventAtMs: exchange.lastEventAtMs,
    isPlaceDoubtful: exchange.isPlaceDoubtful,
  });
}

/** Ends an attempt whose complete response has been sent to the caller. */
export function completeAttempt(attempt: Attempt): void {
  const { command, context, exchange } = attempt;
  if (!settle(attempt)) {
    return;
  }
  context.post({
    kind: EntryEventKind.AnswerCompleted,
    requestId: command.requestId,
    attempt: command.attempt,
    maxGapMs: exchange.maxGapMs,
    meanGapMs: exchange.sumGapsMs / Math.max(1, exchange.eventCount - 1),
  });
}

/** Ends an attempt whose complete response is buffered until the event loop decides whether to deliver it. */
export function completeBufferedAttempt(
  attempt: Attempt,
  status: number,
  headers: readonly string[],
  body: Buffer,
): void {
  const { command, context, exchange, load } = attempt;
  if (!settle(attempt)) {
    return;
  }
  exchange.bufferedAnswer = { attempt: command.attempt, status, headers, body };
  const { requestId } = command;
  const kind = EntryEventKind.AnswerReady;
  context.post({ kind, requestId, attempt: command.attempt, status, load });
}

const CONNECTION_LOSS_MESSAGES: Readonly<Record<RunState, DiagnosticMessage>> = {
  [RunState.NotSent]: Diagnostics.ConnectFailed,
  [RunState.MaybeSent]: Diagnostics.AnswerLost,
  [RunState.Accepted]: Diagnostics.AnswerTruncated,
  [RunState.Streaming]: Diagnostics.AnswerTruncated,
  [RunState.Done]: Diagnostics.AnswerTruncated,
};

/** Fails an attempt whose connection was lost, with the diagnostic for its run state. */
export function failForLostConnection(attempt: Attempt): void {
  failAttempt(attempt, CONNECTION_LOSS_MESSAGES[attempt.runState]);
}

/** Fails an attempt whose connection reported an error: bytes that are no response, or a loss of the connection. */
function failForError(attempt: Attempt, { code = '' }: NodeJS.ErrnoException): void {
  if (code === HEAD_OVERFLOW_CODE) {
    failAttempt(attempt, Diagnostics.AnswerTooLarge, null, MAX_ANSWER_HEAD_BYTES);
  } else if (code.startsWith(PARSER_ERROR_PREFIX)) {
    failAttempt(attempt, Diagnostics.AnswerMismatched);
  } else {
    failForLostConnection(attempt);
  }
}

/** Reports to the event loop, repeatedly, while the server sends no data for longer than the timeout in force. */
function startStallDetection(attempt: Attempt): void {
  const { command, context, exchange } = attempt;
  const check = (): void => {
    const timeoutMs = isAnswerBegun(exchange) ? command.eventGapTimeoutMs : command.startTimeoutMs;
    const silentMs = context.getNowMs() - attempt.progressAtMs;
    if (silentMs >= timeoutMs) {
      const { attempt: attemptNumber, requestId } = command;
      context.post({
        kind: EntryEventKind.AttemptStalled,
        requestId,
        attempt: attemptNumber,
        silentMs,
        isAnswerBegun: isAnswerBegun(exchange),
        isPlaceDoubtful: exchange.isPlaceDoubtful,
      });
    }
    const delayMs = silentMs >= timeoutMs ? timeoutMs : timeoutMs - silentMs;
    if (!attempt.isSettled) {
      attempt.stallTimer = setTimeout(check, Math.min(delayMs, MAX_TIMER_MS));
    }
  };
  attempt.stallTimer = setTimeout(check, Math.min(command.startTimeoutMs, MAX_TIMER_MS));
}

/** Sends the request of an attempt once it has a connection, and hands its response to the caller of `startAttempt`. */
function runAttempt(
  attempt: Attempt,
  request: ClientRequest,
  onResponse: (attempt: Attempt, response: IncomingMessage, head: AnswerHead) => void,
): void {
  const { command, context, exchange } = attempt;
  attempt.request = request;
  exchange.cancel = {
    attempt: command.attempt,
    run: () => {
      settle(attempt);
      request.destroy();
    },
    recall: () => {
      if (attempt.runState === RunState.NotSent) {
        failAttempt(attempt, Diagnostics.RequestRecalled);
      }
    },
  };
  const send = (): void => {
    if (!attempt.isSettled) {
      recordSignal(attempt, DispatchSignal.BytesWritten);
      exchange.bodyMemory.addRequest(request);
      request.end(exchange.body);
    }
  };
  context.agents.onConnection(request, () => runAfterUnreadData(context.isBehind(), send));
  watchFruitlessBytes(request, attempt, () =>
    failAttempt(attempt, Diagnostics.AnswerTooLarge, null, MAX_FRUITLESS_BYTES),
  );
  let answer: IncomingMessage | null = null;
  const failIfUnread = (): void => {
    if (!attempt.isBodyRead) {
      failForLostConnection(attempt);
    }
  };
  request.on('error', (error) => {
    // Bytes behind a complete answer belong to no request.
    if (answer?.complete !== true) {
      failForError(attempt, error);
    }
  });
  request.on('close', () => {
    // The connection may close while reading is paused, before the rest of a complete answer is read.
    if (answer?.complete !== true) {
      failIfUnread();
    }
  });
  let informationCount = 0;
  request.on('information', () => {
    informationCount += 1;
    attempt.fruitlessBytes = 0;
    if (informationCount > MAX_INFORMATIONAL_RESPONSES) {
      failAttempt(attempt, Diagnostics.AnswerMismatched);
    }
  });
  request.on('response', (response) => {
    const head = context.wire.decodeAnswerHead(response.statusCode ?? 0, response.headers);
    reportStatements(attempt, response, head);
    if (attempt.isSettled) {
      request.destroy();
      return;
    }
    recordSignal(attempt, DispatchSignal.HeadersReceived);
    attempt.fruitlessBytes = 0;
    attempt.load = head.load;
    context.agents.recordIdleTimeout(response);
    answer = response;
    response.on('close', failIfUnread);
    response.on('error', (error) => failForError(attempt, error));
    onResponse(attempt, response, head);
  });
  startStallDetection(attempt);
}

/**
 * Starts an attempt. The request is written only after the connection is established, so that a failed connect proves
 * that nothing was sent. An attempt that cannot be started fails.
 */
export function startAttempt(
  command: SendCommand,
  exchange: ForwardExchange,
  context: AttemptContext,
  onResponse: (attempt: Attempt, response: IncomingMessage, head: AnswerHead) => void,
): void {
  const attempt: Attempt = {
    command,
    exchange,
    context,
    request: null,
    runState: RunState.NotSent,
    load: null,
    isSettled: false,
    isAnswerReported: false,
    isBodyRead: false,
    startedAtMs: context.getNowMs(),
    progressAtMs: context.getNowMs(),
    stallTimer: null,
    source: null,
    witness: null,
    fruitlessBytes: 0,
    bodyReader: null,
    pauseReasons: new Set(),
  };
  Either.encase(() => createRequest(attempt)).caseOf({
    Left: ({ message }) => failAttempt(attempt, Diagnostics.RequestNotStarted, null, message),
    Right: (request) => runAttempt(attempt, request, onResponse),
  });
}
