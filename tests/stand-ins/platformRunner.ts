/**
 * A stand-in of the users' runners, in the test's own process: a plain service and an engine that streams
 * events, holds models and takes orders. Faults are set by its fields.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** One request as the runner saw it. */
export interface SeenRequest {
  readonly id: string;
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** How a runner treats its next requests. */
export const RunnerFault = {
  None: 'none',
  /** Says that it did not run the request. */
  Shed: 'shed',
  /** Runs the request and closes the connection. */
  LoseAnswer: 'loseAnswer',
  /** Breaks the stream off in the middle of an event. */
  CutStream: 'cutStream',
  /** Answers another request. */
  Foreign: 'foreign',
  /** Ends the body with the connection, and states no length. */
  Unframed: 'unframed',
  ServerError: 'serverError',
} as const;
export type RunnerFault = (typeof RunnerFault)[keyof typeof RunnerFault];

/** A runner, and what a test can see of it. */
export interface PlatformRunner {
  readonly id: string;
  readonly address: string;
  fault: RunnerFault;
  readonly seen: SeenRequest[];
  readonly orders: unknown[];
  readonly describe: () => Record<string, unknown>;
  readonly close: () => Promise<void>;
}

const EVENT_COUNT = 5;
const EVENT_GAP_MS = 5;
const SEAL = 'seal-1';

interface Options {
  readonly id: string;
  readonly service: string;
  readonly models?: readonly string[];
}

type Answer = (seen: SeenRequest, response: ServerResponse, head: Record<string, string>) => void;

function streamEvents(seen: SeenRequest, response: ServerResponse, isCut: boolean): void {
  let next = Number(seen.headers['last-event-id'] ?? 0) + 1;
  const timer = setInterval(() => {
    if (isCut && next === 3) {
      clearInterval(timer);
      response.write('id: 3\nda', () => response.destroy());
      return;
    }
    response.write(`id: ${next}\ndata: token-${next}\n\n`);
    next += 1;
    if (next > EVENT_COUNT) {
      clearInterval(timer);
      response.end();
    }
  }, EVENT_GAP_MS);
  response.on('close', () => clearInterval(timer));
}

/** Starts a runner on a free port. */
export async function startPlatformRunner(options: Options): Promise<PlatformRunner> {
  const { id, service } = options;
  const models = new Map((options.models ?? []).map((name) => [name, new Set<string>()]));
  const seen: SeenRequest[] = [];
  const orders: unknown[] = [];
  const born = Date.now();
  const state: { fault: RunnerFault } = { fault: RunnerFault.None };
  let orderCount = 0;

  const listModels = () =>
    [...models.entries()].map(([name, adapters]) => ({
      name,
      version: 1,
      adapters: [...adapters],
    }));

  const answerPlain: Answer = (_seen, response, head) => {
    response.writeHead(200, { ...head, 'content-length': 5 });
    response.end('whole');
  };
  const answerStream: Answer = (request, response, head) => {
    response.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
    streamEvents(request, response, false);
  };
  const answerNormally: Answer = (request, response, head) =>
    (models.size > 0 ? answerStream : answerPlain)(request, response, head);

  const ANSWERS: Readonly<Record<RunnerFault, Answer>> = {
    [RunnerFault.None]: answerNormally,
    [RunnerFault.Shed]: (_seen, response) => {
      response.writeHead(503, { 'x-not-executed': '1' });
      response.end();
    },
    [RunnerFault.LoseAnswer]: (_seen, response) => response.destroy(),
    [RunnerFault.CutStream]: (request, response, head) => {
      response.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
      streamEvents(request, response, true);
    },
    [RunnerFault.Foreign]: (_seen, response, head) => {
      response.writeHead(200, { ...head, 'x-attempt-id': 'another', 'content-length': 5 });
      response.end('other');
    },
    [RunnerFault.Unframed]: (_seen, response, head) => {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, { ...head, connection: 'close' });
      response.end('to the end');
    },
    [RunnerFault.ServerError]: (_seen, response, head) => {
      response.writeHead(500, { ...head, 'content-length': 0 });
      response.end();
    },
  };

  const takeOrder = (body: string, response: ServerResponse): void => {
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

  const takeRequest = (request: IncomingMessage, response: ServerResponse, body: string): void => {
    const { headers, method = 'GET', url = '/' } = request;
    if (url === '/v1/order') {
      takeOrder(body, response);
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
    const isHeld = adapters !== undefined && (adapter === undefined || adapters.has(adapter));
    if (models.size > 0 && !isHeld) {
      response.writeHead(421, { 'x-instance-id': id });
      response.end();
      return;
    }
    const entry = { id: requestId, method, url, headers, body };
    const { fault } = state;
    if (fault !== RunnerFault.Shed) {
      seen.push(entry);
    }
    ANSWERS[fault](entry, response, {
      'x-attempt-id': requestId,
      'x-server-seal': SEAL,
      'x-server-load': '1,0,8',
    });
  };

  const server = http.createServer((request, response) => {
    let body = '';
    request.on('data', (chunk: Buffer) => {
      body += chunk.toString();
    });
    request.on('end', () => takeRequest(request, response, body));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  return Object.assign(state, {
    id,
    address,
    seen,
    orders,
    describe: () => ({
      service,
      address,
      zone: 'fd-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      born,
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
