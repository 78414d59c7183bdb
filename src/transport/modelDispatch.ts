/**
 * Dispatch to a model engine. What the engine sends is judged before it goes to the caller. The end of the answer is held
 * back until the whole stream has been seen, since what comes after it shows that it was none.
 */
import type { IncomingMessage } from 'node:http';
import { EventKind } from '../coordination/events.js';
import {
  createCompletionJudge,
  type ItemJudgement,
  ItemVerdict,
} from '../protocol/completionJudge.js';
import {
  createDispatchId,
  encodeEngineBody,
  ENGINE_PATHS,
  REFUSED_HEADER,
  REQUEST_ID_HEADER,
  RESUME_HEADER,
} from '../protocol/engine.js';
import type { CompletionChunk, CompletionRequest } from '../protocol/openai.js';
import { createSseReader } from '../protocol/sse.js';
import { createDiagnostic, Diagnostics } from '../state/diagnostics.js';
import { DispatchSignal } from '../state/runState.js';
import { type BodyReader, readBodyInPieces } from './bodyReader.js';
import {
  completeDispatch,
  createDispatch,
  type Dispatch,
  type DispatchCommand,
  type DispatchContext,
  failDispatch,
  failForLostConnection,
  failForSpoiledAnswer,
  recordSignal,
  sendDispatch,
} from './dispatch.js';
import { deliverChunk, type Exchange, finishModelAnswer, isAnswerBegun } from './exchange.js';

const HTTP_OK = 200;
/** Longest wait for the end of a response after the mark of the end. */
const MAX_END_WAIT_MS = 250;

/** State of the answer to one dispatch. */
interface ModelAnswer {
  readonly dispatch: Dispatch;
  readonly judge: ReturnType<typeof createCompletionJudge>;
  /** True if the caller has a part of the answer from an earlier dispatch. */
  readonly isContinued: boolean;
  /** Chunks of the end. */
  readonly held: CompletionChunk[];
  /** Fires if the response does not end after the mark of the end; null before the mark. */
  endTimer: NodeJS.Timeout | null;
}

/** Sends a chunk to the caller and returns false if the write buffer to the caller is full. */
function forwardChunk({ dispatch, isContinued }: ModelAnswer, chunk: CompletionChunk): boolean {
  const { command, context, exchange } = dispatch;
  const isToken = chunk.tokenIndex !== null;
  // The caller has the chunks without text that an answer begins with.
  if (!isToken && chunk.finishReason === null && isContinued) {
    return true;
  }
  const isFirst = exchange.deliveredTokens === 0 && isToken;
  const isWritable = deliverChunk(exchange, chunk, context.getNowMs());
  if (isFirst) {
    const { attempt, requestId } = command;
    context.post({ kind: EventKind.AnswerStarted, requestId, attempt });
  }
  return isWritable;
}

/** Sends the end of an answer whose stream has been seen up to its end. */
function finishAnswer(answer: ModelAnswer): void {
  const { dispatch, endTimer, held } = answer;
  clearTimeout(endTimer ?? undefined);
  if (dispatch.isSettled) {
    return;
  }
  held.forEach((chunk) => forwardChunk(answer, chunk));
  finishModelAnswer(dispatch.exchange);
  completeDispatch(dispatch);
}

type JudgementHandlers = {
  readonly [V in ItemVerdict]: (
    answer: ModelAnswer,
    judgement: Extract<ItemJudgement, { verdict: V }>,
    response: IncomingMessage,
  ) => boolean;
};

/** What follows a verdict. Each returns false if the write buffer to the caller is full. */
const JUDGEMENT_HANDLERS: JudgementHandlers = {
  [ItemVerdict.Sound]: (answer, { chunk }) => forwardChunk(answer, chunk),
  [ItemVerdict.Held]: (answer, { chunk }) => {
    answer.held.push(chunk);
    return true;
  },
  [ItemVerdict.End]: (answer, _judgement, response) => {
    answer.endTimer = setTimeout(() => {
      finishAnswer(answer);
      response.destroy();
    }, MAX_END_WAIT_MS);
    return true;
  },
  [ItemVerdict.Spoiled]: ({ dispatch, endTimer }, { reason }) => {
    clearTimeout(endTimer ?? undefined);
    failForSpoiledAnswer(dispatch, reason);
    return true;
  },
};

function handleJudgement(
  answer: ModelAnswer,
  judgement: ItemJudgement,
  response: IncomingMessage,
): boolean {
  const handle: JudgementHandlers[ItemVerdict] = JUDGEMENT_HANDLERS[judgement.verdict];
  return handle(answer, judgement as never, response);
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

function createAnswer(dispatch: Dispatch, completion: CompletionRequest): ModelAnswer {
  const { command, exchange } = dispatch;
  const judge = createCompletionJudge({
    dispatchId: createDispatchId(command.requestId, command.attempt),
    resumeFromToken: command.resumeFromToken,
    maxTokens: completion.target.maxTokens,
  });
  return { dispatch, judge, isContinued: isAnswerBegun(exchange), held: [], endTimer: null };
}

function handleResponse(
  dispatch: Dispatch,
  completion: CompletionRequest,
  response: IncomingMessage,
): void {
  if (response.statusCode !== HTTP_OK) {
    handleServerRefusal(dispatch, response);
    return;
  }
  const answer = createAnswer(dispatch, completion);
  const read = createSseReader();
  const addPiece = (reader: BodyReader, bytes: Buffer): void => {
    if (dispatch.isSettled) {
      return;
    }
    recordSignal(dispatch, DispatchSignal.BodyReceived);
    const areWritable = read(bytes).map(
      (item) => dispatch.isSettled || handleJudgement(answer, answer.judge(item), response),
    );
    if (areWritable.includes(false) && !dispatch.isSettled) {
      reader.pause();
      dispatch.exchange.response.once('drain', reader.resume);
    }
  };
  /** An answer whose end has been seen is whole, however its connection ends. */
  const handleEnd = (): void => {
    if (answer.endTimer === null) {
      failForLostConnection(dispatch);
    } else {
      finishAnswer(answer);
    }
  };
  const reader: BodyReader = readBodyInPieces(
    response,
    ({ bytes }) => addPiece(reader, bytes),
    handleEnd,
  );
  response.on('error', handleEnd);
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
  sendDispatch(dispatch, message, (response) => handleResponse(dispatch, completion, response));
}
