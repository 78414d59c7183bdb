/**
 * Runs a simulated server of a soak as a process: plain answers, event streams and engine orders. Flags: `--id ID`, `--host IP`. Prints its
 * address once it listens, then one line for each request that it runs and each order that it takes, before it answers:
 * `ran ATTEMPT RUN LAST_EVENT_ID` and `order HOLDER FENCE MODELS_AS_JSON`. Events name their run; a query of the path sets
 * how the answer is framed, how long its events are, and where it is spoiled: `spoil=EVENT_ID.FORM_NUMBER.TAIL`, any number of them. A
 * run that begins before that event sends the form in its place, prints `spoiled RUN EVENT_ID TAIL FORM`, and goes on as the tail says.
 * With `idle=EVENT_ID.FORM_NUMBER` it sends a form that callers get nothing of in front of that event. With `head=NUMBER` every other
 * run of the server has a head that is not a stream's, and prints `spoiled RUN 0 head STATUS`.
 */
import { once } from 'node:events';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { EVENT_COUNT, formatEvent, formatPlainAnswer } from '../soak/numberedEvents.js';
import { readFlags } from './http.js';
import { FOREIGN_HEADS, listIdleForms, listSpoiledForms, SpoiledTail } from './streamForms.js';

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

/** The answer to a run whose events are sent. */
interface EventRun {
  readonly response: ServerResponse;
  readonly attemptId: string;
  readonly run: string;
  readonly eventBytes: number;
  /** Forms that callers get nothing of, and the events in front of which they are sent. */
  readonly idleForms: ReadonlyMap<number, number>;
}

/** The place in a run at which a spoiled form is sent. */
interface Spoil {
  readonly eventId: number;
  readonly formNumber: number;
  readonly tail: string;
}

const TAIL_EFFECTS: Readonly<Record<string, (response: ServerResponse) => void>> = {
  [SpoiledTail.Ends]: (response) => response.end(),
  // The form is written at the end of this turn of the loop.
  [SpoiledTail.Resets]: ({ socket }) => setTimeout(() => socket?.resetAndDestroy(), HALF_EVENT_MS),
};

/** Returns the first place at which a run is spoiled that begins with an event. */
function findSpoil(url: URL, firstId: number): Spoil | undefined {
  return url.searchParams
    .getAll('spoil')
    .map((text) => text.split('.'))
    .map(([eventId, formNumber, tail = '']) => ({
      ...{ eventId: Number(eventId), formNumber: Number(formNumber), tail },
    }))
    .find(({ eventId }) => eventId > firstId);
}

/** Sends a spoiled form. Returns whether the run goes on. */
function spoilRun({ response, run }: EventRun, { eventId, formNumber, tail }: Spoil): boolean {
  const forms = listSpoiledForms(eventId);
  const { name, text } = forms[formNumber % forms.length]!;
  report('spoiled', run, eventId, tail, name);
  response.write(text, 'latin1');
  TAIL_EFFECTS[tail]?.(response);
  return tail === SpoiledTail.GoesOn;
}

function sendEvents(eventRun: EventRun, firstId: number, spoil: Spoil | undefined): void {
  const { attemptId, eventBytes, idleForms, response, run } = eventRun;
  const sendEvent = (eventId: number): void => {
    if (eventId > EVENT_COUNT) {
      response.end();
      return;
    }
    if (spoil?.eventId === eventId && !spoilRun(eventRun, spoil)) {
      return;
    }
    const idleNumber = idleForms.get(eventId);
    if (idleNumber !== undefined) {
      const forms = listIdleForms(eventId);
      response.write(forms[idleNumber % forms.length]!.text, 'latin1');
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

function findIdleForms(url: URL): ReadonlyMap<number, number> {
  const pairs = url.searchParams.getAll('idle').map((text) => text.split('.').map(Number));
  return new Map(pairs.map(([eventId = 0, formNumber = 0]) => [eventId, formNumber]));
}

/** Returns the status and the fields of the head of a run, and reports a head that is not a stream's. */
function drawHead(url: URL, run: string): (typeof FOREIGN_HEADS)[number] {
  const number = url.searchParams.get('head');
  if (number === null || runCount % 2 === 0) {
    const isStream = url.searchParams.has('events');
    return { status: 200, headers: isStream ? { 'content-type': 'text/event-stream' } : {} };
  }
  const head = FOREIGN_HEADS[Number(number) % FOREIGN_HEADS.length]!;
  report('spoiled', run, 0, 'head', head.status);
  return head;
}

function runRequest(request: IncomingMessage, response: ServerResponse, url: URL): void {
  const attemptId = String(request.headers['x-attempt-id']);
  const lastEventId = Number(request.headers['last-event-id'] ?? 0);
  runCount += 1;
  const runName = `${id}.${process.pid}.${runCount}`;
  report('ran', attemptId, runName, lastEventId);
  const isFramed = url.searchParams.get('framing') !== 'none';
  const isStream = url.searchParams.has('events');
  const head = drawHead(url, runName);
  const headers = {
    'x-attempt-id': attemptId,
    'x-server-seal': runName,
    'x-server-load': '1,0,200',
    ...head.headers,
    ...(isFramed ? {} : { connection: 'close' }),
  };
  response.useChunkedEncodingByDefault = isFramed;
  response.writeHead(head.status, headers);
  if (isStream) {
    const eventBytes = Number(url.searchParams.get('events'));
    const firstId = lastEventId + 1;
    const idleForms = findIdleForms(url);
    const eventRun = { response, attemptId, run: runName, eventBytes, idleForms };
    sendEvents(eventRun, firstId, findSpoil(url, firstId));
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
