/**
 * Dispatch to a model engine. Each chunk of the answer must carry the id of this dispatch and the next
 * token index, and the answer must end with the `[DONE]` event. The dispatch fails otherwise.
 */
import type { IncomingMessage } from 'node:http';
import { EventKind } from '../coordination/events.js';
import {
  createDispatchId,
  encodeEngineBody,
  ENGINE_PATHS,
  REFUSED_HEADER,
  REQUEST_ID_HEADER,
  RESUME_HEADER,
} from '../protocol/engine.js';
import { type CompletionChunk, type CompletionRequest, decodeChunk } from '../protocol/openai.js';
import { createSseReader, SSE_DONE } from '../protocol/sse.js';
import { createDiagnostic, Diagnostics } from '../state/diagnostics.js';
import { DispatchSignal } from '../state/runState.js';
import {
  completeDispatch,
  createDispatch,
  type Dispatch,
  type DispatchCommand,
  type DispatchContext,
  failDispatch,
  failForLostConnection,
  recordSignal,
  sendDispatch,
} from './dispatch.js';
import { finishModelAnswer, deliverChunk, type Exchange } from './exchange.js';

const HTTP_OK = 200;

function isExpectedChunk(dispatch: Dispatch, chunk: CompletionChunk): boolean {
  const { command, exchange } = dispatch;
  const isOfThisDispatch = chunk.id === createDispatchId(command.requestId, command.attempt);
  const isNextToken = chunk.tokenIndex === null || chunk.tokenIndex === exchange.deliveredTokens;
  return isOfThisDispatch && isNextToken;
}

function handleChunk(dispatch: Dispatch, chunk: CompletionChunk, data: string): boolean {
  const { command, context, exchange } = dispatch;
  if (!isExpectedChunk(dispatch, chunk)) {
    failDispatch(dispatch, createDiagnostic(Diagnostics.AnswerMismatched, command.server));
    return true;
  }
  const isFirst = exchange.deliveredTokens === 0 && chunk.tokenIndex !== null;
  const isWritable = deliverChunk(exchange, chunk, data, context.getNowMs());
  if (isFirst) {
    const { attempt, requestId } = command;
    context.post({ kind: EventKind.AnswerStarted, requestId, attempt });
  }
  return isWritable;
}

function handleSseData(dispatch: Dispatch, data: string): boolean {
  if (dispatch.isSettled) {
    return true;
  }
  if (data === SSE_DONE) {
    finishModelAnswer(dispatch.exchange);
    completeDispatch(dispatch);
    return true;
  }
  return decodeChunk(data).caseOf({
    Left: () => {
      const { server } = dispatch.command;
      failDispatch(dispatch, createDiagnostic(Diagnostics.AnswerMismatched, server));
      return true;
    },
    Right: (chunk) => handleChunk(dispatch, chunk, data),
  });
}

function handleServerRefusal(dispatch: Dispatch, response: IncomingMessage): void {
  const { server } = dispatch.command;
  const isNotRun = response.headers[REFUSED_HEADER] !== undefined;
  response.resume();
  failDispatch(
    dispatch,
    createDiagnostic(Diagnostics.BackendRefused, server, response.statusCode ?? 0),
    isNotRun,
  );
}

function handleResponse(dispatch: Dispatch, response: IncomingMessage): void {
  if (response.statusCode !== HTTP_OK) {
    handleServerRefusal(dispatch, response);
    return;
  }
  const read = createSseReader();
  response.setEncoding('utf8');
  response.on('data', (text: string) => {
    recordSignal(dispatch, DispatchSignal.BodyReceived);
    const isWritable = read(text).reduce(
      (areAllWritable, data) => handleSseData(dispatch, data) && areAllWritable,
      true,
    );
    if (!isWritable && !dispatch.isSettled) {
      response.pause();
      dispatch.exchange.response.once('drain', () => response.resume());
    }
  });
  response.on('end', () => failForLostConnection(dispatch));
}

/** Sends a request to a model engine and forwards its answer to the exchange. */
export function dispatchToModel(
  command: DispatchCommand,
  exchange: Exchange,
  completion: CompletionRequest,
  context: DispatchContext,
): void {
  const dispatch = createDispatch(command, exchange, context);
  const message = {
    method: 'POST',
    path: ENGINE_PATHS[completion.kind],
    headers: {
      'content-type': 'application/json',
      [REQUEST_ID_HEADER]: createDispatchId(command.requestId, command.attempt),
      [RESUME_HEADER]: String(command.resumeFromToken),
    },
    body: encodeEngineBody(completion),
  };
  sendDispatch(dispatch, message, (response) => handleResponse(dispatch, response));
}
