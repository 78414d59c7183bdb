/**
 * Handles the responses of backend servers. Event streams are forwarded to the caller event by event. Other responses
 * are buffered until the event loop decides whether to deliver them; large ones are forwarded as they arrive.
 */
import type { IncomingMessage } from 'node:http';
import { EntryCommandKind } from '../../../coordination/entry/commands.js';
import { EntryEventKind } from '../../../coordination/entry/events.js';
import type { PassedEnd } from '../../../coordination/entry/passedRequest.js';
import { createEventFrameReader, type EventFrame } from '../../../protocol/entry/eventFrames.js';
import {
  createStreamJudge,
  EventVerdict,
  type StreamJudge,
} from '../../../protocol/entry/streamJudge.js';
import {
  encodeAnswerSource,
  isPassingUnsupported,
  readPassedEnd,
  removePassHeaders,
} from '../../../protocol/entry/passedRequests.js';
import { hasHeaderNames, isAnswerStatus } from '../../../protocol/httpText.js';
import { createDiagnostic, Diagnostics } from '../../../state/diagnostics.js';
import { DOUBTS, type SpoilReason } from '../../../state/entry/spoiledStreams.js';
import { DispatchSignal } from '../../../state/runState.js';
import { RunStatus } from '../../../state/types.js';
import { type BodyPiece, readBodyInPieces } from '../../bodyReader.js';
import { createByteCollector } from '../../../protocol/byteCollector.js';
import { lacksChunks } from '../../unframedAnswers.js';
import { MemoryPurpose } from '../../vmMemory.js';
import type { Attempt } from './attemptState.js';
import {
  advanceAttempt,
  completeAttempt,
  failAttempt,
  failForLostConnection,
  completeBufferedAttempt,
  recordProgress,
  recordSignal,
} from './attempt.js';
import {
  completeUnlessServerEnded,
  createCompletenessCheck,
  isFramed,
  watchServer,
} from './answerEnds.js';
import { holdForCaller, keepPace, leaveTurn, writeWithBackpressure } from './answerPacing.js';
import { endWithConnection, isAnswerBegun, recordStreamEvent } from '../callers/exchange.js';
import type { AnswerHead } from '../wire.js';

const HTTP_OK = 200;
/** Lowest status of an answer that reports a failure. */
const MIN_FAILURE_STATUS = 400;
const EVENT_STREAM_PATTERN = /^text\/event-stream[ \t]*(?:;|$)/i;
const CONTENT_TYPE_HEADER = 'content-type';
const CHUNKED_PATTERN = /^chunked$/i;
/** Larger responses are forwarded as they arrive. If one is cut off, the caller's connection is closed. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Longest body of a response. */
const MAX_ANSWER_BYTES = 67_108_864;
/** Longest event of a stream. */
const MAX_EVENT_BYTES = 1_048_576;
/** The same while streams have used up their share of the VM's memory. */
const MAX_EVENT_BYTES_IN_SHORTAGE = 65_536;
/** Most bytes of whole events without data between two events with data. */
const MAX_IDLE_BYTES = 65_536;
/** Limits on the body of a rejection, which is read only so that its connection can be used again. */
const MAX_REJECTION_BYTES = 65_536;
const MAX_REJECTION_MS = 1_000;

/** Fails an attempt whose response cannot be delivered to the caller. Its connection is closed, not reused. */
function rejectAnswer(attempt: Attempt): void {
  failAttempt(attempt, Diagnostics.AnswerMismatched);
}

/** Fails an attempt whose server has sent more than a limit allows. Its connection is closed. */
function rejectTooLarge(attempt: Attempt, maxBytes: number): void {
  failAttempt(attempt, Diagnostics.AnswerTooLarge, null, maxBytes);
}

/** Reads the body of a rejection and drops it; closes the connection if the body is long or slow. */
function dropBody(response: IncomingMessage): void {
  let totalBytes = 0;
  const timer = setTimeout(() => response.destroy(), MAX_REJECTION_MS);
  const drop = ({ receivedBytes }: BodyPiece): void => {
    totalBytes += receivedBytes;
    if (totalBytes > MAX_REJECTION_BYTES) {
      response.destroy();
    }
  };
  readBodyInPieces(response, drop, () => {});
  response.on('close', () => clearTimeout(timer));
}

/** Tells the event loop once for each attempt that its server has begun to answer. */
function reportAnswerStarted(attempt: Attempt): void {
  const { command, context, isAnswerReported, load } = attempt;
  if (!isAnswerReported) {
    attempt.isAnswerReported = true;
    const { attempt: number, requestId } = command;
    const kind = EntryEventKind.AnswerStarted;
    context.post({ kind, requestId, attempt: number, load, source: attempt.source });
  }
}

/** Encodes the head of an answer for the caller, or for the VM that has passed the request. */
function encodeHead({ command, context, exchange }: Attempt, response: IncomingMessage): string[] {
  const headers = removePassHeaders(context.wire.encodeAnswerHead(response.rawHeaders));
  if (!exchange.isPassed || command.kind !== EntryCommandKind.Dispatch) {
    return headers;
  }
  const { backendId, bornAtWallMs, softwareVersion } = command;
  return [...headers, ...encodeAnswerSource({ backendId, bornAtWallMs, softwareVersion })];
}

/**
 * Starts an answer whose end is not known yet. It is sent in chunks even if the server's has no framing, because the kernel ends the
 * connections of a killed VM in order: without the last chunk, the caller detects that the answer is incomplete. HTTP/1.0 has no chunks.
 */
function startAnswer(
  attempt: Attempt,
  response: IncomingMessage,
  lengthHeader: readonly string[] = [],
): void {
  const { exchange } = attempt;
  if (!isAnswerBegun(exchange) && !exchange.response.destroyed) {
    const headers = encodeHead(attempt, response);
    if (lacksChunks(exchange.request) && lengthHeader.length === 0) {
      endWithConnection(exchange);
    }
    exchange.response.writeHead(response.statusCode ?? HTTP_OK, [...headers, ...lengthHeader]);
  }
  reportAnswerStarted(attempt);
}

/** Returns the server's length of a whole answer. That of a stream does not hold for its caller: another run may continue it. */
function getLengthHeader({ headers }: IncomingMessage): readonly string[] {
  const length = headers['content-length'];
  return length === undefined ? [] : ['Content-Length', length];
}

/** Ends an attempt whose server has spoiled its stream. What the caller has is left as it is. */
function failSpoiled(attempt: Attempt, reason: SpoilReason): void {
  const { command, context, exchange } = attempt;
  const { attempt: number, requestId } = command;
  const afterId = exchange.place.lastId;
  exchange.isPlaceDoubtful ||= DOUBTS.has(reason);
  context.post({ kind: EntryEventKind.StreamSpoiled, requestId, attempt: number, reason, afterId });
  failAttempt(attempt, Diagnostics.StreamSpoiled, null, afterId ?? '', reason);
}

/**
 * Sends the sound events of those that have arrived together in one write: each write has a cost that a short event does not
 * bear. Fails the attempt at the first that spoils the stream.
 */
function forwardEvents(
  attempt: Attempt,
  response: IncomingMessage,
  judge: StreamJudge,
  frames: readonly EventFrame[],
  onDrained: () => void,
): void {
  const { context, exchange } = attempt;
  const judged = frames.map((frame) => ({ frame, ...judge.judge(frame) }));
  if (judged.some(({ isAdvance }) => isAdvance)) {
    recordProgress(attempt);
  }
  const spoiling = judged.find(({ verdict }) => verdict === EventVerdict.Spoiled);
  const isDoubt = spoiling !== undefined && DOUBTS.has(spoiling.reason!);
  // The VM that has passed the request judges the event too, and so learns that the caller's events are in doubt.
  const isTold = exchange.isPassed && isDoubt;
  const taken = judged.flatMap((event) =>
    event.verdict === EventVerdict.Sound || (isTold && event === spoiling) ? [event.frame] : [],
  );
  if (taken.length > 0) {
    startAnswer(attempt, response);
    taken.forEach(() => recordStreamEvent(exchange, context.getNowMs()));
    const bytes = taken.map((frame) => frame.bytes);
    const joined = bytes.length === 1 ? bytes[0]! : Buffer.concat(bytes);
    writeWithBackpressure(attempt, joined, onDrained);
  }
  if (spoiling !== undefined) {
    failSpoiled(attempt, spoiling.reason!);
  }
}

function forwardEventStream(attempt: Attempt, response: IncomingMessage): void {
  const reader = createEventFrameReader(attempt.context.wire.eventAnnotationPattern);
  const judge = createStreamJudge(attempt.exchange.place);
  let bodyBytes = 0;
  let idleBytes = 0;
  const isComplete = createCompletenessCheck(attempt.exchange, response);
  const caller = attempt.exchange.response;
  const held = holdForCaller(attempt, MemoryPurpose.Streams);
  const countHeld = (): void => held.resize(reader.getIncompleteLength() + caller.writableLength);
  const addPiece = (piece: BodyPiece): void => {
    if (attempt.isSettled) {
      return;
    }
    advanceAttempt(attempt, DispatchSignal.BodyReceived);
    attempt.fruitlessBytes = 0;
    bodyBytes += piece.bytes.length;
    const frames = reader.addChunk(piece.bytes);
    const lastDataIndex = frames.findLastIndex(({ hasData }) => hasData);
    const idleFrames = frames.slice(lastDataIndex + 1);
    idleBytes = lastDataIndex >= 0 ? 0 : idleBytes;
    idleBytes += idleFrames.reduce((sum, { receivedBytes: added }) => sum + added, 0);
    forwardEvents(attempt, response, judge, frames, countHeld);
    keepPace(attempt, Math.max(frames.length, piece.maxChunks));
    leaveTurn(attempt, piece);
    countHeld();
    const maxEventBytes = held.canAdd(0) ? MAX_EVENT_BYTES : MAX_EVENT_BYTES_IN_SHORTAGE;
    if (reader.getIncompleteLength() > maxEventBytes) {
      rejectTooLarge(attempt, maxEventBytes);
      held.resize(caller.writableLength);
    } else if (idleBytes > MAX_IDLE_BYTES) {
      rejectTooLarge(attempt, MAX_IDLE_BYTES);
    } else if (bodyBytes > MAX_ANSWER_BYTES) {
      rejectTooLarge(attempt, MAX_ANSWER_BYTES);
    }
  };
  // What a slow caller has not read yet still counts.
  response.once('close', () => held.resize(caller.writableLength));
  const end = (): void => {
    if (attempt.isSettled) {
      return;
    }
    if (!isComplete() || reader.getIncompleteLength() > 0) {
      failForLostConnection(attempt);
      return;
    }
    const reason = judge.judgeEnd();
    if (reason !== null) {
      failSpoiled(attempt, reason);
      return;
    }
    completeUnlessServerEnded(attempt, response, () => {
      startAnswer(attempt, response);
      attempt.exchange.isEnded = true;
      attempt.exchange.response.end();
      completeAttempt(attempt);
    });
  };
  attempt.bodyReader = readBodyInPieces(response, addPiece, end);
}

function bufferAnswer(attempt: Attempt, response: IncomingMessage): void {
  const { exchange } = attempt;
  const collector = createByteCollector();
  const isComplete = createCompletenessCheck(attempt.exchange, response);
  const held = holdForCaller(attempt, MemoryPurpose.Answers);
  let bodyBytes = 0;
  let isForwarding = false;
  const addPiece = (piece: BodyPiece): void => {
    if (attempt.isSettled) {
      return;
    }
    recordSignal(attempt, DispatchSignal.BodyReceived);
    attempt.fruitlessBytes = 0;
    const { bytes } = piece;
    bodyBytes += bytes.length;
    if (bodyBytes > MAX_ANSWER_BYTES) {
      rejectTooLarge(attempt, MAX_ANSWER_BYTES);
      return;
    }
    keepPace(attempt, piece.maxChunks);
    if (isForwarding) {
      writeWithBackpressure(attempt, bytes);
      return;
    }
    collector.add(bytes);
    leaveTurn(attempt, piece);
    if (bodyBytes > MAX_BUFFERED_BYTES || !held.add(bytes.length)) {
      isForwarding = true;
      startAnswer(attempt, response, getLengthHeader(response));
      writeWithBackpressure(attempt, collector.take(), () => held.resize(0));
    }
  };
  response.once('close', () => {
    if (exchange.bufferedAnswer?.attempt !== attempt.command.attempt && !attempt.isBodyRead) {
      collector.take();
      held.release();
    }
  });
  const end = (): void => {
    if (attempt.isSettled) {
      return;
    }
    if (!isComplete()) {
      failForLostConnection(attempt);
      return;
    }
    completeUnlessServerEnded(attempt, response, () => {
      if (isForwarding) {
        exchange.isEnded = true;
        exchange.response.end();
        completeAttempt(attempt);
        return;
      }
      const headers = encodeHead(attempt, response);
      const status = response.statusCode ?? 0;
      completeBufferedAttempt(attempt, status, headers, collector.take());
    });
  };
  attempt.bodyReader = readBodyInPieces(response, addPiece, end);
}

/** The kinds of answers on the route of a request. */
const AnswerKind = {
  Stream: 'stream',
  Whole: 'whole',
  /** Nothing that the route may deliver. */
  Foreign: 'foreign',
} as const;
type AnswerKind = (typeof AnswerKind)[keyof typeof AnswerKind];

/** Returns what an answer is by its head: a stream's route may deliver an event stream, or the report of a failure. */
function getAnswerKind({ command }: Attempt, response: IncomingMessage): AnswerKind {
  const status = response.statusCode ?? 0;
  if (!command.isStream || status >= MIN_FAILURE_STATUS) {
    return AnswerKind.Whole;
  }
  const types = response.headersDistinct[CONTENT_TYPE_HEADER] ?? [];
  const isStream = types.length === 1 && EVENT_STREAM_PATTERN.test(types[0]!);
  return status === HTTP_OK && isStream ? AnswerKind.Stream : AnswerKind.Foreign;
}

/** Returns whether the body is not sent as it is. Chunks are the only coding that Node.js decodes. */
function isEncoded({ headers }: IncomingMessage): boolean {
  const coding = headers['transfer-encoding'];
  const isCoded = coding !== undefined && !CHUNKED_PATTERN.test(coding);
  return isCoded || headers['content-encoding'] !== undefined;
}

type AnswerHandler = (attempt: Attempt, response: IncomingMessage) => void;

const ANSWER_HANDLERS: Readonly<Record<AnswerKind, AnswerHandler>> = {
  [AnswerKind.Stream]: forwardEventStream,
  [AnswerKind.Whole]: (attempt, response) =>
    // The caller has received part of an event stream, which a whole answer cannot continue.
    (isAnswerBegun(attempt.exchange) ? rejectAnswer : bufferAnswer)(attempt, response),
  [AnswerKind.Foreign]: rejectAnswer,
};

/** Fails an attempt at another VM for the reason that this VM gives. */
function failPass(attempt: Attempt, response: IncomingMessage, passedEnd: PassedEnd): void {
  const isRefused = passedEnd.run === RunStatus.NotRun;
  dropBody(response);
  failAttempt(attempt, Diagnostics.BackendRefused, { isRefused, isMisdirected: false, passedEnd });
}

/** Fails an attempt at another VM that has no answer of a server. Returns false if it has one, which marks its own end. */
function endIfUnanswered(attempt: Attempt, response: IncomingMessage): boolean {
  const end = readPassedEnd(response.headers);
  if (end !== null) {
    failPass(attempt, response, end);
    return true;
  }
  if (attempt.source === null || !isFramed(attempt.exchange, response)) {
    rejectAnswer(attempt);
    return true;
  }
  return false;
}

/** Handles the response of a backend server once its headers have been received. */
export function handleAnswer(attempt: Attempt, response: IncomingMessage, head: AnswerHead): void {
  const { command, context, exchange } = attempt;
  const { callerRequestId } = head;
  if (
    command.kind === EntryCommandKind.Pass &&
    callerRequestId === null &&
    isPassingUnsupported(response.statusCode ?? 0, response.headers)
  ) {
    const { code, message } = createDiagnostic(Diagnostics.PassingUnsupported, command.vmId);
    failPass(attempt, response, { run: RunStatus.NotRun, code, message, retryAfterMs: null });
    return;
  }
  const isForThisRequest = callerRequestId === exchange.callerRequestId;
  const isRefusalWithoutId = callerRequestId === null && head.isRefused;
  // A server may send an earlier rejection once more, while it runs this request.
  const isReplay = !context.agents.recordAnswer(response, callerRequestId) && head.isRefused;
  const isAnswer = isAnswerStatus(response.statusCode ?? 0) && !isEncoded(response);
  if (!(isForThisRequest || isRefusalWithoutId) || !isAnswer || isReplay) {
    rejectAnswer(attempt);
    return;
  }
  if (head.isRefused) {
    exchange.rejectedAddresses.add(command.address);
    dropBody(response);
    failAttempt(attempt, Diagnostics.BackendRefused, head, response.statusCode ?? 0);
    return;
  }
  if (command.kind === EntryCommandKind.Pass && endIfUnanswered(attempt, response)) {
    return;
  }
  if (!hasHeaderNames(response.rawHeaders)) {
    rejectAnswer(attempt);
    return;
  }
  watchServer(attempt, response);
  ANSWER_HANDLERS[getAnswerKind(attempt, response)](attempt, response);
}
