/**
 * Dispatch of one HTTP request to a backend server, shared by dispatches to models and to routes.
 * Tracks how far the request has progressed, and reports its success or failure to the loop.
 */
import http, { type IncomingMessage, type OutgoingHttpHeaders } from 'node:http';
import {
  type CommandKind,
  type CommandOf,
  EventKind,
  type VmEvent,
} from '../coordination/events.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { advanceRunState, DispatchSignal } from '../state/runState.js';
import type { AnswerSpoilReason } from '../state/spoiledAnswers.js';
import { RunState } from '../state/types.js';
import { type Exchange, getMeanGapMs, isAnswerBegun } from './exchange.js';
import { splitAddress } from './httpCall.js';
import { readAllHeaderLines } from './headerLines.js';

const CONNECT_TIMEOUT_MS = 1_000;

/** Dependencies of a dispatch. */
export interface DispatchContext {
  readonly post: (event: VmEvent) => void;
  readonly getNowMs: () => number;
  readonly agent: http.Agent;
}

export type DispatchCommand = CommandOf<typeof CommandKind.Dispatch>;

/** State of one dispatch. It posts at most one event for its success or failure. */
export interface Dispatch {
  readonly command: DispatchCommand;
  readonly exchange: Exchange;
  readonly context: DispatchContext;
  runState: RunState;
  isSettled: boolean;
}

/** The HTTP request to send. */
export interface DispatchMessage {
  readonly method: string;
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer | string;
}

/** Advances the run state of a dispatch according to a signal from its connection. */
export function recordSignal(dispatch: Dispatch, signal: DispatchSignal): void {
  dispatch.runState = advanceRunState(dispatch.runState, signal);
}

/** Ends a dispatch whose answer failed and posts the failure, unless the dispatch has already ended. */
export function failDispatch(
  dispatch: Dispatch,
  diagnostic: Diagnostic,
  isRefusedByServer = false,
): void {
  if (dispatch.isSettled) {
    return;
  }
  const { command, context, exchange } = dispatch;
  dispatch.isSettled = true;
  exchange.cancelDispatch?.();
  exchange.cancelDispatch = null;
  context.post({
    kind: EventKind.DispatchFailed,
    requestId: command.requestId,
    attempt: command.attempt,
    runState: dispatch.runState,
    diagnostic,
    isRefusedByServer,
    deliveredTokens: exchange.deliveredTokens,
    isAnswerBegun: isAnswerBegun(exchange),
  });
}

/**
 * Ends a dispatch whose answer is complete and posts its statistics, unless the dispatch has already
 * ended.
 */
export function completeDispatch(dispatch: Dispatch): void {
  if (dispatch.isSettled) {
    return;
  }
  const { command, context, exchange } = dispatch;
  dispatch.isSettled = true;
  exchange.cancelDispatch = null;
  recordSignal(dispatch, DispatchSignal.EndReceived);
  context.post({
    kind: EventKind.AnswerCompleted,
    requestId: command.requestId,
    attempt: command.attempt,
    generatedTokens: exchange.deliveredTokens,
    maxGapMs: exchange.maxGapMs,
    meanGapMs: getMeanGapMs(exchange),
  });
}

/** Fails a dispatch whose answer does not belong to the request, and posts the reason. */
export function failForSpoiledAnswer(dispatch: Dispatch, reason: AnswerSpoilReason): void {
  const { attempt, requestId, server } = dispatch.command;
  if (!dispatch.isSettled) {
    dispatch.context.post({ kind: EventKind.AnswerSpoiled, requestId, attempt, reason });
  }
  failDispatch(dispatch, createDiagnostic(Diagnostics.AnswerMismatched, server));
}

/** Fails a dispatch after its connection was lost. The diagnostic depends on the run state. */
export function failForLostConnection(dispatch: Dispatch): void {
  const { server } = dispatch.command;
  const definitions = {
    [RunState.NotSent]: Diagnostics.ConnectFailed,
    [RunState.MaybeSent]: Diagnostics.AnswerLost,
    [RunState.Accepted]: Diagnostics.AnswerTruncated,
    [RunState.Streaming]: Diagnostics.AnswerTruncated,
    [RunState.Done]: Diagnostics.AnswerTruncated,
  };
  failDispatch(dispatch, createDiagnostic(definitions[dispatch.runState], server));
}

/**
 * Sends one request. Its headers and body are written only after the connection is established, so that
 * a failed connect proves that nothing was sent. A request that is not idempotent gets a new
 * connection, because the server may close a pooled one just as the request is sent.
 */
export function sendDispatch(
  dispatch: Dispatch,
  message: DispatchMessage,
  onResponse: (response: IncomingMessage) => void,
): void {
  const { command, context, exchange } = dispatch;
  const request = http.request({
    ...splitAddress(command.address),
    method: message.method,
    path: message.path,
    headers: { ...message.headers, 'content-length': Buffer.byteLength(message.body) },
    agent: command.isIdempotent ? context.agent : false,
  });
  readAllHeaderLines(request);
  const writeRequest = (): void => {
    if (dispatch.isSettled) {
      return;
    }
    recordSignal(dispatch, DispatchSignal.BytesWritten);
    exchange.bodyMemory.addRequest(request);
    request.end(message.body);
  };
  const handleConnectionLoss = (): void => failForLostConnection(dispatch);
  exchange.cancelDispatch = () => {
    dispatch.isSettled = true;
    request.destroy();
  };
  request.on('socket', (socket) => {
    if (!socket.connecting) {
      writeRequest();
      return;
    }
    const timer = setTimeout(() => request.destroy(), CONNECT_TIMEOUT_MS);
    socket.once('close', () => clearTimeout(timer));
    socket.once('connect', () => {
      clearTimeout(timer);
      writeRequest();
    });
  });
  request.on('error', handleConnectionLoss);
  request.on('close', handleConnectionLoss);
  request.on('response', (response) => {
    recordSignal(dispatch, DispatchSignal.HeadersReceived);
    // An answer that is whole settles the dispatch first.
    onResponse(response);
    response.on('error', handleConnectionLoss);
  });
}

/** Creates the state of the dispatch for a command. Nothing has been sent yet. */
export function createDispatch(
  command: DispatchCommand,
  exchange: Exchange,
  context: DispatchContext,
): Dispatch {
  return { command, exchange, context, runState: RunState.NotSent, isSettled: false };
}
