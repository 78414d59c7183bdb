/**
 * A simulated server of the tests of cut links: whole answers with and without a length, and numbered event streams. It counts the runs
 * of each request and records what it received.
 */
import { once } from 'node:events';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** The host of all servers, at which nothing else listens. */
export const CUT_SERVER_HOST = '127.0.2.1';
export const CUT_STREAM_EVENTS = 10;
const EVENT_INTERVAL_MS = 20;
/** The query parameter with which a caller asks for a stream of another length. */
const EVENT_COUNT_PATTERN = /[?&]events=(\d+)/;
const EVENT_BYTES_PATTERN = /[?&]bytes=(\d+)/;
/** The query parameter with which a caller asks for a stream that ends with its connection. */
const UNFRAMED_PATTERN = /[?&]framing=none/;

function endWithConnection(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.setHeader('connection', 'close');
}

/** What all servers of a test have recorded. */
export interface ServerRecords {
  /** How often each request was run, by its caller's id. */
  readonly runs: Map<string, number>;
  /** Times at which connections of streams closed before their ends, by the caller's id. */
  readonly closes: Map<string, number>;
  /** Deadlines in milliseconds that came with each request, by its caller's id. */
  readonly deadlinesMs: Map<string, number>;
  /** Names of all headers that came, in lower case. */
  readonly headerNames: Set<string>;
}

/** Creates the records of a test's servers. */
export function createServerRecords(): ServerRecords {
  return { runs: new Map(), closes: new Map(), deadlinesMs: new Map(), headerNames: new Set() };
}

/** Returns what a server answers to a request that is no stream's. */
export function getCutAnswer(id: string, body: string): string {
  return `${id}:${body}`;
}

function sendEvents(
  response: ServerResponse,
  url: string,
  firstEventId: number,
  recordClose: () => void,
): void {
  const count = Number(EVENT_COUNT_PATTERN.exec(url)?.[1] ?? CUT_STREAM_EVENTS);
  const data = 'x'.repeat(Number(EVENT_BYTES_PATTERN.exec(url)?.[1] ?? 1));
  const step = (eventId: number): void => {
    if (response.destroyed) {
      recordClose();
    } else if (eventId > count) {
      response.end();
    } else {
      const isRoom = response.write(`id: ${eventId}\ndata: ${data}\n\n`);
      const next = (): unknown => setTimeout(() => step(eventId + 1), EVENT_INTERVAL_MS);
      if (isRoom) {
        next();
      } else {
        response.once('drain', next);
      }
    }
  };
  step(firstEventId);
}

type Answer = (request: IncomingMessage, response: ServerResponse, text: string) => void;

const sendWhole: Answer = (_request, response, text) => {
  response.setHeader('content-length', Buffer.byteLength(text));
  response.end(text);
};

/** The answers by the first segment of the path. */
const ANSWERS: Readonly<Record<string, Answer>> = {
  look: sendWhole,
  book: sendWhole,
  plain: (_request, response, text) => {
    endWithConnection(response);
    response.end(text);
  },
};

/** A server that runs. */
export interface CutServer {
  readonly address: string;
  readonly close: () => void;
}

/** Starts a server whose answers carry some headers in addition. */
export async function startCutServer(
  records: ServerRecords,
  extraHeaders: Readonly<Record<string, string>> = {},
): Promise<CutServer> {
  const server = http.createServer((request, response) => {
    const id = String(request.headers['x-attempt-id']);
    const url = request.url ?? '/';
    records.runs.set(id, (records.runs.get(id) ?? 0) + 1);
    records.deadlinesMs.set(id, Number(request.headers['x-deadline-ms']));
    Object.keys(request.headers).forEach((name) => records.headerNames.add(name));
    const headers = { 'x-attempt-id': id, 'x-server-seal': 's', ...extraHeaders };
    Object.entries(headers).forEach(([name, value]) => response.setHeader(name, value));
    response.on('error', () => {});
    const answer = ANSWERS[url.split('/')[1] ?? ''];
    if (answer === undefined) {
      request.resume();
      response.setHeader('content-type', 'text/event-stream');
      if (UNFRAMED_PATTERN.test(url)) {
        endWithConnection(response);
      }
      const recordClose = (): unknown => records.closes.set(id, performance.now());
      response.once('close', () => response.writableFinished || recordClose());
      const firstEventId = Number(request.headers['last-event-id'] ?? 0) + 1;
      sendEvents(response, url, firstEventId, () => {});
      return;
    }
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () =>
      answer(request, response, getCutAnswer(id, Buffer.concat(chunks).toString())),
    );
  });
  server.keepAliveTimeout = 60_000;
  server.maxHeadersCount = 0;
  server.listen(0, CUT_SERVER_HOST);
  await once(server, 'listening');
  return {
    address: `${CUT_SERVER_HOST}:${(server.address() as AddressInfo).port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
