/**
 * Dispatch to a plain service, a backend server that is not a model engine. An answer of up to
 * `MAX_BUFFERED_BYTES` is buffered and sent when it is complete. A larger one is streamed, and the
 * caller's connection is closed if the answer is interrupted.
 */
import type { IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { EventKind } from '../coordination/events.js';
import { createByteCollector } from '../protocol/byteCollector.js';
import { REQUEST_ID_HEADER, WORKSPACE_HEADER } from '../protocol/engine.js';
import { isAnswerHead } from '../protocol/httpText.js';
import { DispatchSignal } from '../state/runState.js';
import { AnswerSpoilReason } from '../state/spoiledAnswers.js';
import { type BodyReader, readBodyInPieces } from './bodyReader.js';
import {
  completeDispatch,
  createDispatch,
  type Dispatch,
  type DispatchCommand,
  type DispatchContext,
  failForSpoiledAnswer,
  recordSignal,
  sendDispatch,
} from './dispatch.js';
import { beginAnswer, type Exchange, sendCompleteAnswer } from './exchange.js';

const MAX_BUFFERED_BYTES = 262_144;
const HTTP_NO_CONTENT = 204;
const HTTP_NOT_MODIFIED = 304;

/**
 * Headers that apply to one connection only, or that no backend server may receive. Removed from
 * requests and answers.
 */
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

/** Chunks show the end of a body only as the outermost encoding, which is named last. */
const CHUNKED_PATTERN = /(?:^|,)[ \t]*chunked[ \t]*$/i;

/**
 * Returns whether the end of the response can be detected. Without a content length or chunked
 * encoding, it looks the same as a broken connection.
 */
function hasFraming(response: IncomingMessage, method: string): boolean {
  const { headers, statusCode = 0 } = response;
  const hasNoBody =
    method === 'HEAD' || statusCode === HTTP_NO_CONTENT || statusCode === HTTP_NOT_MODIFIED;
  const encoding = headers['transfer-encoding'];
  const isFramed =
    encoding === undefined
      ? headers['content-length'] !== undefined
      : CHUNKED_PATTERN.test(encoding);
  return hasNoBody || isFramed;
}

function isForOtherRequest(response: IncomingMessage, requestId: string): boolean {
  const echoedRequestId = response.headers[REQUEST_ID_HEADER];
  return echoedRequestId !== undefined && echoedRequestId !== requestId;
}

function findSpoilReason(
  response: IncomingMessage,
  requestId: string,
  method: string,
): AnswerSpoilReason | null {
  if (!isAnswerHead(response.statusCode ?? 0, response.rawHeaders)) {
    return AnswerSpoilReason.InvalidHead;
  }
  if (isForOtherRequest(response, requestId)) {
    return AnswerSpoilReason.OtherRequest;
  }
  return hasFraming(response, method) ? null : AnswerSpoilReason.NoFraming;
}

function postAnswerStarted({ command, context }: Dispatch): void {
  const { attempt, requestId } = command;
  context.post({ kind: EventKind.AnswerStarted, requestId, attempt });
}

function startStreaming(
  dispatch: Dispatch,
  response: IncomingMessage,
  headers: OutgoingHttpHeaders,
  buffered: Buffer,
): void {
  const callerResponse = dispatch.exchange.response;
  const length = response.headers['content-length'];
  const framing = length === undefined ? {} : { 'content-length': length };
  postAnswerStarted(dispatch);
  beginAnswer(dispatch.exchange, response.statusCode ?? 0, { ...headers, ...framing });
  callerResponse.write(buffered);
}

function handleResponse(dispatch: Dispatch, response: IncomingMessage): void {
  const { command, exchange } = dispatch;
  const method = exchange.request.method ?? 'GET';
  const spoilReason = findSpoilReason(response, command.requestId, method);
  if (spoilReason !== null) {
    response.resume();
    failForSpoiledAnswer(dispatch, spoilReason);
    return;
  }
  const headers = filterHeaders(response.headers);
  const collector = createByteCollector();
  let isStreaming = false;
  const addPiece = (reader: BodyReader, bytes: Buffer): void => {
    recordSignal(dispatch, DispatchSignal.BodyReceived);
    if (isStreaming) {
      if (!exchange.response.write(bytes)) {
        reader.pause();
        exchange.response.once('drain', reader.resume);
      }
      return;
    }
    collector.add(bytes);
    if (collector.getLength() > MAX_BUFFERED_BYTES) {
      isStreaming = true;
      startStreaming(dispatch, response, headers, collector.take());
    }
  };
  const end = (): void => {
    if (!response.complete || dispatch.isSettled) {
      return;
    }
    if (isStreaming) {
      exchange.isEnded = true;
      exchange.response.end();
    } else {
      const status = response.statusCode ?? 0;
      const body = collector.take();
      exchange.bufferedAnswer = { status, headers, body };
      postAnswerStarted(dispatch);
      sendCompleteAnswer(exchange, status, headers, body);
    }
    completeDispatch(dispatch);
  };
  const reader: BodyReader = readBodyInPieces(
    response,
    ({ bytes }) => addPiece(reader, bytes),
    end,
  );
}

/** Sends a request to a plain service and forwards its answer to the caller. */
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
  sendDispatch(dispatch, message, (response) => handleResponse(dispatch, response));
}
