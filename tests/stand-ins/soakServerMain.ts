/**
 * Runs a simulated server of a soak as a process: plain answers, event streams and engine orders. Flags: `--id ID`, `--host IP`. Prints its
 * address once it listens, then one line for each request that it runs and each order that it takes, before it answers:
 * `ran ATTEMPT RUN LAST_EVENT_ID` and `order HOLDER FENCE MODELS_AS_JSON`. Events name their run; a query of the path sets
 * how the answer is framed and how long its events are.
 */
import { once } from 'node:events';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { EVENT_COUNT, formatEvent, formatPlainAnswer } from '../soak/numberedEvents.js';
import { readFlags } from './http.js';

const EVENT_INTERVAL_MS = 17;
/** Time within which an event is written in two parts, so that a kill falls between them as well. */
const HALF_EVENT_MS = 8;

interface Order {
  readonly op: string;
  readonly model: string;
  readonly adapter?: string;
  readonly expected?: number;
  readonly holder: string;
  readonly fence: number;
}

const flags = readFlags(process.argv.slice(2));
const id = flags.get('id') ?? '';
const host = flags.get('host') ?? '127.0.0.1';
const models = new Map([['m0', new Set<string>()]]);
let runCount = 0;
let orderCount = 0;
let highestFence = 0;

function report(...words: readonly (string | number)[]): void {
  process.stdout.write(`${words.join(' ')}\n`);
}

function listModels() {
  return [...models].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] }));
}

const ORDER_EFFECTS: Readonly<Record<string, (order: Order) => void>> = {
  load: ({ adapter, model }) => {
    const adapters = models.get(model) ?? new Set();
    models.set(model, adapter === undefined ? adapters : adapters.add(adapter));
  },
  unload: ({ adapter, model }) => {
    if (adapter === undefined) {
      models.delete(model);
    } else {
      models.get(model)?.delete(adapter);
    }
  },
};

function handleOrder(body: string, response: ServerResponse): void {
  const order = JSON.parse(body) as Order;
  const isUnexpected = order.expected !== undefined && order.expected !== orderCount;
  const statusInFence = isUnexpected ? 409 : 202;
  const status = order.fence < highestFence ? 412 : statusInFence;
  if (status === 202) {
    highestFence = order.fence;
    orderCount += 1;
    ORDER_EFFECTS[order.op]?.(order);
  }
  report('order', order.holder, order.fence, JSON.stringify(listModels()));
  response.writeHead(status);
  response.end('{}');
}

function sendEvents(
  response: ServerResponse,
  attemptId: string,
  run: string,
  firstId: number,
  eventBytes: number,
): void {
  const sendEvent = (eventId: number): void => {
    if (eventId > EVENT_COUNT) {
      response.end();
      return;
    }
    const text = formatEvent({ eventId, run, attemptId, fill: 'x'.repeat(eventBytes) });
    response.write(text.slice(0, text.length / 2));
    setTimeout(() => {
      response.write(text.slice(text.length / 2));
      setTimeout(() => sendEvent(eventId + 1), EVENT_INTERVAL_MS);
    }, HALF_EVENT_MS);
  };
  sendEvent(firstId);
  response.on('error', () => {});
}

function runRequest(request: IncomingMessage, response: ServerResponse, url: URL): void {
  const attemptId = String(request.headers['x-attempt-id']);
  const lastEventId = Number(request.headers['last-event-id'] ?? 0);
  runCount += 1;
  const runName = `${id}.${process.pid}.${runCount}`;
  report('ran', attemptId, runName, lastEventId);
  const isFramed = url.searchParams.get('framing') !== 'none';
  const isStream = url.searchParams.has('events');
  const headers = {
    'x-attempt-id': attemptId,
    'x-server-seal': runName,
    'x-server-load': '1,0,200',
    ...(isStream ? { 'content-type': 'text/event-stream' } : {}),
    ...(isFramed ? {} : { connection: 'close' }),
  };
  response.useChunkedEncodingByDefault = isFramed;
  response.writeHead(200, headers);
  if (isStream) {
    const eventBytes = Number(url.searchParams.get('events'));
    sendEvents(response, attemptId, runName, lastEventId + 1, eventBytes);
  } else {
    response.end(formatPlainAnswer(attemptId));
  }
}

function handleRequest(request: IncomingMessage, response: ServerResponse, body: string): void {
  const url = new URL(request.url ?? '/', 'http://server');
  const target = request.headers['x-target-instance'] ?? id;
  const [model = '', adapter] = String(request.headers['x-model'] ?? '').split('/');
  const adapters = models.get(model);
  const isModelMissing =
    model !== '' && (adapters === undefined || (adapter !== undefined && !adapters.has(adapter)));
  if (target !== id || isModelMissing) {
    response.writeHead(421, { 'x-not-executed': '1', 'x-instance-id': id });
    response.end();
  } else if (url.pathname === '/v1/order') {
    handleOrder(body, response);
  } else if (url.pathname === '/v1/report') {
    response.writeHead(200);
    response.end(JSON.stringify({ models: listModels(), busy: false, seq: orderCount }));
  } else if (request.headers['x-attempt-id'] === undefined) {
    response.writeHead(200, { 'x-instance-id': id });
    response.end();
  } else {
    runRequest(request, response, url);
  }
}

const server = http.createServer((request, response) => {
  let body = '';
  request.on('data', (chunk: Buffer) => {
    body += chunk.toString();
  });
  request.on('end', () => handleRequest(request, response, body));
});
server.listen(0, host);
await once(server, 'listening');
report('listens', `${host}:${(server.address() as AddressInfo).port}`);
