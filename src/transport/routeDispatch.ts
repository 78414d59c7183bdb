/**
 * Dispatch to a plain service. An answer of moderate size is held until it is whole; a larger one is
 * passed on as it comes, and a break in it ends the caller's connection.
 */
import type { IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { EventKind } from '../coordination/events.js';
import { REQUEST_ID_HEADER, WORKSPACE_HEADER } from '../protocol/engine.js';
import { createDiagnostic, Diagnostics } from '../state/diagnostics.js';
import { DispatchSignal } from '../state/runState.js';
import {
  completeDispatch,
  createDispatch,
  type Dispatch,
  type DispatchCommand,
  type DispatchContext,
  failDispatch,
  noteSignal,
  sendDispatch,
} from './dispatch.js';
import { type Exchange, sendWhole } from './exchange.js';

const MAX_HELD_BYTES = 262_144;
const HTTP_NO_CONTENT = 204;
const HTTP_NOT_MODIFIED = 304;

/** Headers that belong to one connection, or that no backend server may see. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'connection',
  'content-length',
  'cookie',
  'expect',
  'host',
  'idempotency-key',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'x-api-key',
  REQUEST_ID_HEADER,
  WORKSPACE_HEADER,
]);

function filterHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !DROPPED_HEADERS.has(name)));
}

/** Without a length or chunks, the end of a body cannot be told from a broken connection. */
function hasFraming(response: IncomingMessage, method: string): boolean {
  const { headers, statusCode = 0 } = response;
  const hasNoBody =
    method === 'HEAD' || statusCode === HTTP_NO_CONTENT || statusCode === HTTP_NOT_MODIFIED;
  const isFramed =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  return hasNoBody || isFramed;
}

function isForeign(response: IncomingMessage, requestId: string): boolean {
  const echoed = response.headers[REQUEST_ID_HEADER];
  return echoed !== undefined && echoed !== requestId;
}

function noteStart({ command, context }: Dispatch): void {
  const { attempt, requestId } = command;
  context.post({ kind: EventKind.AnswerStarted, requestId, attempt });
}

function streamOn(
  dispatch: Dispatch,
  response: IncomingMessage,
  headers: OutgoingHttpHeaders,
  held: readonly Buffer[],
): void {
  const caller = dispatch.exchange.response;
  const length = response.headers['content-length'];
  const framing = length === undefined ? {} : { 'content-length': length };
  noteStart(dispatch);
  caller.writeHead(response.statusCode ?? 0, { ...headers, ...framing });
  held.forEach((chunk) => caller.write(chunk));
}

function takeResponse(dispatch: Dispatch, response: IncomingMessage): void {
  const { command, exchange } = dispatch;
  const method = exchange.request.method ?? 'GET';
  if (isForeign(response, command.requestId) || !hasFraming(response, method)) {
    response.resume();
    failDispatch(dispatch, createDiagnostic(Diagnostics.AnswerMismatched, command.server));
    return;
  }
  const headers = filterHeaders(response.headers);
  let held: Buffer[] = [];
  let heldBytes = 0;
  let isStreaming = false;
  response.on('data', (chunk: Buffer) => {
    noteSignal(dispatch, DispatchSignal.BodyReceived);
    if (isStreaming) {
      if (!exchange.response.write(chunk)) {
        response.pause();
        exchange.response.once('drain', () => response.resume());
      }
      return;
    }
    held.push(chunk);
    heldBytes += chunk.length;
    if (heldBytes > MAX_HELD_BYTES) {
      isStreaming = true;
      streamOn(dispatch, response, headers, held);
      held = [];
    }
  });
  response.on('end', () => {
    if (!response.complete || dispatch.isSettled) {
      return;
    }
    if (isStreaming) {
      exchange.isEnded = true;
      exchange.response.end();
    } else {
      const status = response.statusCode ?? 0;
      const body = Buffer.concat(held);
      exchange.held = { status, headers, body };
      noteStart(dispatch);
      sendWhole(exchange, status, headers, body);
    }
    completeDispatch(dispatch);
  });
}

/** Sends a request to a plain service. */
export function dispatchToRoute(
  command: DispatchCommand,
  exchange: Exchange,
  context: DispatchContext,
): void {
  const dispatch = createDispatch(command, exchange, context);
  const { request } = exchange;
  const workspace = command.workspace === null ? {} : { [WORKSPACE_HEADER]: command.workspace };
  const message = {
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: {
      ...filterHeaders(request.headers),
      ...workspace,
      [REQUEST_ID_HEADER]: command.requestId,
    },
    body: exchange.body,
  };
  sendDispatch(dispatch, message, (response) => takeResponse(dispatch, response));
}
