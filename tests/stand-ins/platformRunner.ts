/**
 * Simulates the users' runners within the test process: a plain service, or an engine that streams events,
 * holds models and carries out orders. A test injects faults by setting the field `fault`.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A request as the runner received it. */
export interface ReceivedRequest {
  readonly id: string;
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** A call as it arrived. */
export interface Arrival {
  readonly url: string;
  readonly atMs: number;
}

/** The fault that a runner applies to its requests. */
export const RunnerFault = {
  None: 'none',
  /** Refuses the request and reports that it was not executed. */
  NotExecuted: 'notExecuted',
  /** Runs the request and closes the connection without an answer. */
  LoseAnswer: 'loseAnswer',
  /** Closes the connection in the middle of an event. */
  TruncateStream: 'truncateStream',
  /** Returns the id and answer of another attempt. */
  WrongAttemptId: 'wrongAttemptId',
  /** Sends a body without a length, which ends when the connection closes. */
  Unframed: 'unframed',
  ServerError: 'serverError',
} as const;
export type RunnerFault = (typeof RunnerFault)[keyof typeof RunnerFault];

/** A running stand-in, its current fault, and the requests and orders that it received. */
export interface PlatformRunner {
  readonly id: string;
  readonly address: string;
  fault: RunnerFault;
  /** Headers that all answers have, also those to orders and to requests for a report. */
  headers: Readonly<Record<string, string>>;
  readonly seen: ReceivedRequest[];
  readonly orders: unknown[];
  /** All calls, also those that were refused, orders and requests for a report. */
  readonly arrivals: Arrival[];
  /** Returns the runner's entry for the store. */
  readonly describe: () => Record<string, unknown>;
  readonly close: () => Promise<void>;
}

const EVENT_COUNT = 5;
const EVENT_INTERVAL_MS = 5;
const SERVER_SEAL = 'seal-1';

interface RunnerOptions {
  readonly id: string;
  readonly service: string;
  readonly models?: readonly string[];
}

type SendAnswer = (
  request: ReceivedRequest,
  response: ServerResponse,
  headers: Record<string, string>,
) => void;

function streamEvents(
  request: ReceivedRequest,
  response: ServerResponse,
  isTruncated: boolean,
): void {
  let nextId = Number(request.headers['last-event-id'] ?? 0) + 1;
  const timer = setInterval(() => {
    if (isTruncated && nextId === 3) {
      clearInterval(timer);
      response.write('id: 3\nda', () => response.destroy());
      return;
    }
    response.write(`id: ${nextId}\ndata: token-${nextId}\n\n`);
    nextId += 1;
    if (nextId > EVENT_COUNT) {
      clearInterval(timer);
      response.end();
    }
  }, EVENT_INTERVAL_MS);
  response.on('close', () => clearInterval(timer));
}

/** Starts a runner on a free loopback port. */
export async function startPlatformRunner(options: RunnerOptions): Promise<PlatformRunner> {
  const { id, service } = options;
  const models = new Map((options.models ?? []).map((name) => [name, new Set<string>()]));
  const receivedRequests: ReceivedRequest[] = [];
  const orders: unknown[] = [];
  const arrivals: Arrival[] = [];
  const bornMs = Date.now();
  const state: Pick<PlatformRunner, 'fault' | 'headers'> = { fault: RunnerFault.None, headers: {} };
  let orderCount = 0;

  const listModels = () =>
    [...models.entries()].map(([name, adapters]) => ({
      name,
      version: 1,
      adapters: [...adapters],
    }));

  const sendPlainAnswer: SendAnswer = (_request, response, headers) => {
    response.writeHead(200, { ...headers, 'content-length': 5 });
    response.end('whole');
  };
  const sendStream: SendAnswer = (request, response, headers) => {
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
    streamEvents(request, response, false);
  };
  const sendNormalAnswer: SendAnswer = (request, response, headers) =>
    (models.size > 0 ? sendStream : sendPlainAnswer)(request, response, headers);

  const ANSWER_SENDERS: Readonly<Record<RunnerFault, SendAnswer>> = {
    [RunnerFault.None]: sendNormalAnswer,
    [RunnerFault.NotExecuted]: (_request, response, headers) => {
      response.writeHead(503, { ...headers, 'x-not-executed': '1' });
      response.end();
    },
    [RunnerFault.LoseAnswer]: (_request, response) => response.destroy(),
    [RunnerFault.TruncateStream]: (request, response, headers) => {
      response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
      streamEvents(request, response, true);
    },
    [RunnerFault.WrongAttemptId]: (_request, response, headers) => {
      response.writeHead(200, { ...headers, 'x-attempt-id': 'another', 'content-length': 5 });
      response.end('other');
    },
    [RunnerFault.Unframed]: (_request, response, headers) => {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, { ...headers, connection: 'close' });
      response.end('to the end');
    },
    [RunnerFault.ServerError]: (_request, response, headers) => {
      response.writeHead(500, { ...headers, 'content-length': 0 });
      response.end();
    },
  };

  const handleOrder = (body: string, response: ServerResponse): void => {
    const order = JSON.parse(body) as {
      op: string;
      model: string;
      adapter?: string;
      expected?: number;
    };
    orders.push(order);
    if (order.expected !== orderCount) {
      response.writeHead(409);
      response.end('{}');
      return;
    }
    orderCount += 1;
    if (order.adapter !== undefined) {
      models.get(order.model)?.add(order.adapter);
    } else if (order.op === 'load') {
      models.set(order.model, new Set());
    } else {
      models.delete(order.model);
    }
    response.writeHead(202);
    response.end('{}');
  };

  const handleRequest = (
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void => {
    const { headers, method = 'GET', url = '/' } = request;
    arrivals.push({ url, atMs: performance.now() });
    Object.entries(state.headers).forEach(([name, value]) => response.setHeader(name, value));
    if (url === '/v1/order') {
      handleOrder(body, response);
      return;
    }
    if (url === '/v1/report') {
      response.writeHead(200);
      response.end(JSON.stringify({ models: listModels(), busy: false, seq: orderCount }));
      return;
    }
    const requestId = String(headers['x-attempt-id']);
    const [model = '', adapter] = String(headers['x-model'] ?? '').split('/');
    const adapters = models.get(model);
    const isLoaded = adapters !== undefined && (adapter === undefined || adapters.has(adapter));
    if (models.size > 0 && !isLoaded) {
      response.writeHead(421, { 'x-instance-id': id });
      response.end();
      return;
    }
    const entry = { id: requestId, method, url, headers, body };
    const { fault } = state;
    if (fault !== RunnerFault.NotExecuted) {
      receivedRequests.push(entry);
    }
    ANSWER_SENDERS[fault](entry, response, {
      'x-attempt-id': requestId,
      'x-server-seal': SERVER_SEAL,
      'x-server-load': '1,0,8',
    });
  };

  const server = http.createServer((request, response) => {
    let body = '';
    request.on('data', (chunk: Buffer) => {
      body += chunk.toString();
    });
    request.on('end', () => handleRequest(request, response, body));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  return Object.assign(state, {
    id,
    address,
    seen: receivedRequests,
    orders,
    arrivals,
    describe: () => ({
      service,
      address,
      zone: 'fd-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      born: bornMs,
      seq: 1,
      models: listModels(),
    }),
    close: () =>
      new Promise<void>((resolve) => {
        server.closeAllConnections();
        server.close(() => resolve());
      }),
  });
}
