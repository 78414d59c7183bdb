/**
 * Finds out whether a backend server has outlived an answer without a length. A connection that the server accepted while it was answering
 * is the witness: the kernel closes it with all others of a killed process, and no successor at the address can answer on it.
 */
import http from 'node:http';
import net, { type Socket } from 'node:net';
import { Effect } from 'effect';
import { Either } from 'purify-ts';
import { LifeEvidence } from '../../../state/entry/serverLife.js';
import { splitAddress } from '../../httpCall.js';
import type { DispatchCommand } from './attemptCommands.js';
import type { EntryWire } from '../wire.js';

/** Longest time for which the end of an answer waits for its server. */
const ANSWER_TIMEOUT_MS = 300;
/** Time within which all connections of a killed process have ended. */
const CLOSING_MS = 100;
const MAX_HEAD_BYTES = 16_384;

/** A request that any life sign of a server answers. */
interface Question {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly isForOther: (response: http.IncomingMessage) => boolean;
}

type Report = (evidence: LifeEvidence) => void;

/** The witness of one answer. */
export interface ServerWitness {
  /** Resolves to what shows whether the server lives, asked once after the end of the answer. */
  readonly ask: () => Effect.Effect<LifeEvidence>;
  readonly release: () => void;
}

/** Returns what the server may be asked for without running a request; null if there is nothing. */
function createQuestion(
  { backendId, lifeCheck }: DispatchCommand,
  wire: EntryWire,
): Question | null {
  if (lifeCheck === null) {
    return null;
  }
  return {
    path: lifeCheck.healthPath ?? wire.engineReportPath,
    headers: { ...wire.encodeEngineRequestHead(backendId), Connection: 'close' },
    isForOther: ({ headers, statusCode = 0 }) =>
      wire.decodeAnswerHead(statusCode, headers).isMisdirected ||
      (wire.decodeServerId(headers) ?? backendId) !== backendId,
  };
}

/** Sends the question on a connection, and reports the answer or the error. */
function sendQuestion(
  socket: Socket,
  { headers, isForOther, path }: Question,
  report: Report,
  evidence: { readonly answered: LifeEvidence; readonly failed: LifeEvidence },
): void {
  const request = http.request({
    createConnection: () => socket,
    path,
    headers,
    maxHeaderSize: MAX_HEAD_BYTES,
  });
  request.once('response', (response) => {
    response.on('error', () => {});
    report(isForOther(response) ? LifeEvidence.OtherServer : evidence.answered);
    socket.destroy();
  });
  request.on('error', ({ code }: NodeJS.ErrnoException) => {
    report(code === 'ECONNREFUSED' ? LifeEvidence.Refused : evidence.failed);
  });
  request.end();
}

function askOnWitness(socket: Socket, question: Question | null, report: Report): () => void {
  if (question === null) {
    socket.once('close', () => report(LifeEvidence.Closed));
  } else {
    const evidence = { answered: LifeEvidence.Answered, failed: LifeEvidence.Closed };
    sendQuestion(socket, question, report, evidence);
  }
  // What has arrived meanwhile is read first, however late the timer is.
  const timer = setTimeout(
    () => setImmediate(() => setImmediate(() => report(LifeEvidence.StillOpen))),
    ANSWER_TIMEOUT_MS,
  );
  return () => clearTimeout(timer);
}

/** Throws if Node.js does not accept the address. */
function askOnNewConnection(
  address: string,
  question: Question | null,
  report: Report,
): () => void {
  const socket = net.connect(splitAddress(address));
  if (question === null) {
    socket.once('connect', () => report(LifeEvidence.Listening));
    socket.on('error', ({ code }: NodeJS.ErrnoException) =>
      report(code === 'ECONNREFUSED' ? LifeEvidence.Refused : LifeEvidence.NoAnswer),
    );
  } else {
    const evidence = { answered: LifeEvidence.AnsweredLater, failed: LifeEvidence.NoAnswer };
    sendQuestion(socket, question, report, evidence);
  }
  const timer = setTimeout(() => report(LifeEvidence.NoAnswer), ANSWER_TIMEOUT_MS);
  return () => {
    clearTimeout(timer);
    socket.destroy();
  };
}

/** Opens a connection to the server of an answer that has begun. If the server closes it before the answer ends, only its id is asked for then. */
export function openWitness(command: DispatchCommand, wire: EntryWire): ServerWitness {
  const { address } = command;
  const question = createQuestion(command, wire);
  let socket: Socket | null = null;
  let isConnected = false;
  let lostAtMs: number | null = null;

  const connect = (): void => {
    const opened = net.connect(splitAddress(address));
    socket = opened;
    opened.setNoDelay(true);
    opened.once('connect', () => {
      isConnected = true;
    });
    opened.on('error', () => {});
    // Without a reader, the end of the connection would stay unnoticed.
    opened.resume();
    opened.once('close', () => {
      lostAtMs = isConnected ? performance.now() : null;
      isConnected = false;
    });
  };
  const release = (): void => {
    socket?.destroy();
  };
  const start = (report: Report): (() => void) => {
    if (socket !== null && isConnected) {
      return askOnWitness(socket, question, report);
    }
    const isLost = lostAtMs !== null;
    const isJustLost = lostAtMs !== null && performance.now() - lostAtMs < CLOSING_MS;
    if (isJustLost || (isLost && question === null)) {
      report(LifeEvidence.Closed);
      return () => {};
    }
    return askOnNewConnection(address, question, report);
  };

  // An address that cannot be connected to has no witness.
  Either.encase(connect);
  return {
    release,
    ask: () =>
      Effect.callback<LifeEvidence>((resume) => {
        let stop = (): void => {};
        const report = (evidence: LifeEvidence): void => {
          stop();
          release();
          resume(Effect.succeed(evidence));
        };
        Either.encase(() => start(report)).caseOf<void>({
          Left: () => report(LifeEvidence.NoAnswer),
          Right: (cancel) => {
            stop = cancel;
          },
        });
        return Effect.sync(() => {
          stop();
          release();
        });
      }),
  };
}
