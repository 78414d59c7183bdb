/**
 * What the two kinds of dispatch share: one HTTP request to a backend server, whose run state is
 * tracked from the first byte on.
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
import { RunState } from '../state/types.js';
import { type Exchange, getMeanGapMs, isAnswerBegun } from './exchange.js';
import { splitAddress } from './httpCall.js';

const CONNECT_TIMEOUT_MS = 1_000;

/** What a dispatch works with. */
export interface DispatchContext {
  readonly post: (event: VmEvent) => void;
  readonly getNowMs: () => number;
  readonly agent: http.Agent;
}

export type DispatchCommand = CommandOf<typeof CommandKind.Dispatch>;

/** One dispatch under way. Reports at most one end. */
export interface Dispatch {
  readonly command: DispatchCommand;
  readonly exchange: Exchange;
  readonly context: DispatchContext;
  runState: RunState;
  isSettled: boolean;
}

/** What is sent. */
export interface DispatchMessage {
  readonly method: string;
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer | string;
}

/** Notes what has been learned about how far the dispatch has come. */
export function noteSignal(dispatch: Dispatch, signal: DispatchSignal): void {
  dispatch.runState = advanceRunState(dispatch.runState, signal);
}

/** Ends a dispatch without an answer. */
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
  exchange.cancel?.();
  exchange.cancel = null;
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

/** Ends a dispatch whose whole answer has come. */
export function completeDispatch(dispatch: Dispatch): void {
  if (dispatch.isSettled) {
    return;
  }
  const { command, context, exchange } = dispatch;
  dispatch.isSettled = true;
  exchange.cancel = null;
  noteSignal(dispatch, DispatchSignal.EndReceived);
  context.post({
    kind: EventKind.AnswerCompleted,
    requestId: command.requestId,
    attempt: command.attempt,
    generatedTokens: exchange.deliveredTokens,
    maxGapMs: exchange.maxGapMs,
    meanGapMs: getMeanGapMs(exchange),
  });
}

/** Fails a dispatch with what the loss of its connection means at this point. */
export function failForLostConnection(dispatch: Dispatch): void {
  const { server } = dispatch.command;
  const messages = {
    [RunState.NotSent]: Diagnostics.ConnectFailed,
    [RunState.MaybeSent]: Diagnostics.AnswerLost,
    [RunState.Accepted]: Diagnostics.AnswerTruncated,
    [RunState.Streaming]: Diagnostics.AnswerTruncated,
    [RunState.Done]: Diagnostics.AnswerTruncated,
  };
  failDispatch(dispatch, createDiagnostic(messages[dispatch.runState], server));
}

/**
 * Sends one request. Its body is written only once there is a connection, so that a failed connect is
 * known to have sent nothing. A request that may run only once gets a connection of its own: one from
 * the pool may have been closed by the server at the moment of sending.
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
  const send = (): void => {
    if (dispatch.isSettled) {
      return;
    }
    noteSignal(dispatch, DispatchSignal.BytesWritten);
    request.end(message.body);
  };
  const failLost = (): void => failForLostConnection(dispatch);
  exchange.cancel = () => {
    dispatch.isSettled = true;
    request.destroy();
  };
  request.on('socket', (socket) => {
    if (!socket.connecting) {
      send();
      return;
    }
    const timer = setTimeout(() => request.destroy(), CONNECT_TIMEOUT_MS);
    socket.once('close', () => clearTimeout(timer));
    socket.once('connect', () => {
      clearTimeout(timer);
      send();
    });
  });
  request.on('error', failLost);
  request.on('close', failLost);
  request.on('response', (response) => {
    noteSignal(dispatch, DispatchSignal.HeadersReceived);
    response.on('error', failLost);
    response.on('aborted', failLost);
    onResponse(response);
  });
}

/** Creates the dispatch that a command orders. */
export function createDispatch(
  command: DispatchCommand,
  exchange: Exchange,
  context: DispatchContext,
): Dispatch {
  return { command, exchange, context, runState: RunState.NotSent, isSettled: false };
}
