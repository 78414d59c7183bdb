/**
 * Simulates a model engine: continuous batching, priorities, resuming and cancelling streams, a prefix
 * cache, delayed load reports, and orders with or without fencing tokens. Faults are injected through
 * `POST /faults`; `GET /stats` also counts what must never happen, such as overcommitted memory.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import {
  ENGINE_LOAD_PATH,
  ENGINE_PATHS,
  EngineRefusal,
  encodeLoadReport,
  REFUSED_HEADER,
  REQUEST_ID_HEADER,
  RESUME_HEADER,
} from '../../src/protocol/engine.js';
import { CompletionKind, estimateTokens } from '../../src/protocol/openai.js';
import { hashText } from '../../src/state/random.js';
import type { LoadReport } from '../../src/state/types.js';
import { sendJson, startHandlerServer, type StandInHandler } from './http.js';

const PREFIX_CHARS = 256;
const MAX_CACHED_PREFIXES = 64;
const DEFAULT_PRIORITY = 5;
const VOCABULARY_SIZE = 1000;

/** Configuration of a simulated engine. */
export interface EngineOptions {
  readonly memoryMb: number;
  readonly maxBatch: number;
  readonly maxQueue: number;
  /** Time between two consecutive tokens of a running request. */
  readonly tokenMs: number;
  /** Prefill time per prompt token; a cached prompt takes none. */
  readonly prefillMsPerToken: number;
  /** Age of the load reports that the engine returns. */
  readonly reportLagMs: number;
  /** Duration of a model load. */
  readonly loadMs: number;
  /** Whether orders with a lower fencing token than the highest one received are rejected. */
  readonly checksFencing: boolean;
  /** Models that are loaded at startup. */
  readonly models: readonly { readonly tag: string; readonly memoryMb: number }[];
}

export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  memoryMb: 10_000,
  maxBatch: 16,
  maxQueue: 32,
  tokenMs: 5,
  prefillMsPerToken: 0,
  reportLagMs: 200,
  loadMs: 50,
  checksFencing: true,
  models: [],
};

/** Faults to inject. Each affected request or order uses up one of a fault's count. */
export interface EngineFaults {
  /** The engine refuses new requests and reports that it is leaving. */
  leaving: boolean;
  /** Number of tokens after which the connection of a truncated stream is closed; 0 for none. */
  truncateAfterTokens: number;
  /** Streams whose connection is closed early. */
  truncations: number;
  /** Streams that end after their last token without the end marker. */
  missingEnds: number;
  /** Streams that carry the id of another request. */
  wrongIds: number;
  /** Streams that omit one token. */
  gaps: number;
  /** Requests whose connection is closed after they were read. */
  loseRequests: number;
  /** Streams that send nothing after their first token and stay open. */
  stalls: number;
  /** Orders whose connection is closed before they take effect. */
  loseOrders: number;
  /** Orders that take effect, but whose connection is closed before the answer. */
  loseOrderAnswers: number;
  orderDelayMs: number;
  /** Omits every n-th cache event; 0 omits none. */
  cacheEventGap: number;
}

const NO_FAULTS: EngineFaults = {
  leaving: false,
  truncateAfterTokens: 0,
  truncations: 0,
  missingEnds: 0,
  wrongIds: 0,
  gaps: 0,
  loseRequests: 0,
  stalls: 0,
  loseOrders: 0,
  loseOrderAnswers: 0,
  orderDelayMs: 0,
  cacheEventGap: 0,
};

/** Counters of an engine since its start. */
export interface EngineStats {
  readonly started: number;
  readonly completed: number;
  readonly cancelled: number;
  readonly cacheHits: number;
  /** Load orders that took the memory of loaded and loading models above the engine's memory. */
  readonly overcommits: number;
  /** Orders rejected because of an outdated fencing token. */
  readonly staleOrders: number;
  readonly loads: number;
  /** Values of `authorization` headers; an engine must never receive an API key. */
  readonly keysSeen: readonly string[];
}

interface Stream {
  readonly id: string;
  readonly kind: CompletionKind;
  readonly model: string;
  readonly seed: number;
  readonly priority: number;
  readonly maxTokens: number;
  readonly response: ServerResponse;
  readonly truncateAtToken: number;
  readonly gapAtToken: number;
  readonly stallAtToken: number;
  readonly hasEndMarker: boolean;
  nextToken: number;
  sentTokens: number;
  prefillEndsAtMs: number;
}

interface CompletionBody {
  readonly model: string;
  readonly prompt?: string;
  readonly messages?: readonly { readonly role: string; readonly content: string }[];
  readonly max_tokens?: number;
  readonly priority?: number;
}

interface OrderBody {
  readonly orderId: string;
  readonly fence: number;
  readonly kind: 'load' | 'unload' | 'role';
  readonly tag: string;
  readonly memoryMb?: number;
}

/** Returns the token at an index of an answer; every engine generates the same one. */
export function getToken(seed: number, index: number): string {
  return ` w${hashText(`${seed}/${index}`) % VOCABULARY_SIZE}`;
}

/** Returns the text that every engine generates for a prompt. */
export function getExpectedText(prompt: string, maxTokens: number): string {
  const seed = hashText(prompt);
  return Array.from({ length: maxTokens }, (_, i) => getToken(seed, i)).join('');
}

function getPrompt(body: CompletionBody): string {
  return (
    body.prompt ??
    (body.messages ?? []).map(({ content, role }) => `${role}: ${content}`).join('\n')
  );
}

const CHOICE_ENCODERS: Readonly<Record<CompletionKind, (text: string) => object>> = {
  [CompletionKind.Text]: (text) => ({ text }),
  [CompletionKind.Chat]: (text) => ({ delta: { content: text } }),
};

const OBJECT_TYPES: Readonly<Record<CompletionKind, string>> = {
  [CompletionKind.Text]: 'text_completion',
  [CompletionKind.Chat]: 'chat.completion.chunk',
};

function encodeToken(stream: Stream, index: number, isLast: boolean): string {
  const choice = CHOICE_ENCODERS[stream.kind](getToken(stream.seed, index));
  const chunk = {
    id: stream.id,
    object: OBJECT_TYPES[stream.kind],
    created: 0,
    model: stream.model,
    choices: [{ index: 0, ...choice, finish_reason: isLast ? 'length' : null }],
    token_index: index,
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

/** Starts a simulated engine on a loopback port. */
export function startEngine(port: number, options: EngineOptions): Promise<Server> {
  let faults = { ...NO_FAULTS };
  const stats = {
    started: 0,
    completed: 0,
    cancelled: 0,
    cacheHits: 0,
    overcommits: 0,
    staleOrders: 0,
    loads: 0,
  };
  const keysSeen: string[] = [];
  const loaded = new Map(options.models.map(({ memoryMb, tag }) => [tag, memoryMb]));
  const loading = new Map<string, number>();
  const appliedOrders = new Map<string, boolean>();
  let highestFence = 0;
  let running: Stream[] = [];
  let queued: Stream[] = [];
  const prefixes: number[] = [];
  const cacheEvents: { readonly sequence: number; readonly prefix: number }[] = [];
  let cacheSequence = 0;
  const reports: { readonly atMs: number; readonly report: LoadReport }[] = [];
  let timer: NodeJS.Timeout | null = null;

  /** Uses up one of a fault's count and returns whether the fault applies. */
  const consumeFault = (
    name:
      | 'truncations'
      | 'missingEnds'
      | 'wrongIds'
      | 'gaps'
      | 'loseRequests'
      | 'stalls'
      | 'loseOrders'
      | 'loseOrderAnswers',
  ): boolean => {
    if (faults[name] <= 0) {
      return false;
    }
    faults[name] -= 1;
    return true;
  };

  const getUsedMb = (): number =>
    [...loaded, ...[...loading].filter(([tag]) => !loaded.has(tag))].reduce(
      (sum, [, mb]) => sum + mb,
      0,
    );

  const createReport = (): LoadReport => ({
    runningRequests: running.length,
    queuedRequests: queued.length,
    usedMemoryMb: getUsedMb(),
    loadedModels: [...loaded.keys()],
    loadingModels: [...loading.keys()],
    leaving: faults.leaving,
  });

  const recordReport = (): void => {
    const atMs = Date.now();
    reports.push({ atMs, report: createReport() });
    while (reports.length > 1 && reports[1]!.atMs <= atMs - options.reportLagMs) {
      reports.shift();
    }
  };

  const isLoaded = (model: string): boolean =>
    [...loaded.keys()].some((tag) => tag.startsWith(`${model}@`));

  /** Makes a prompt's prefix the most recently used one and returns whether it was cached. */
  const cachePrefix = (prompt: string): boolean => {
    const prefix = hashText(prompt.slice(0, PREFIX_CHARS));
    const position = prefixes.indexOf(prefix);
    if (position >= 0) {
      prefixes.splice(position, 1);
    }
    prefixes.push(prefix);
    if (prefixes.length > MAX_CACHED_PREFIXES) {
      prefixes.shift();
    }
    cacheSequence += 1;
    const isOmitted = faults.cacheEventGap > 0 && cacheSequence % faults.cacheEventGap === 0;
    if (position < 0 && !isOmitted) {
      cacheEvents.push({ sequence: cacheSequence, prefix });
    }
    return position >= 0;
  };

  const completeStream = (stream: Stream): void => {
    stats.completed += 1;
    if (stream.hasEndMarker) {
      stream.response.end('data: [DONE]\n\n');
    } else {
      stream.response.end();
    }
  };

  /** Sends the next token of a stream and returns whether the stream is still running. */
  const sendNextToken = (stream: Stream): boolean => {
    if (stream.response.destroyed) {
      return false;
    }
    if (stream.sentTokens === stream.stallAtToken) {
      return true;
    }
    const index = stream.nextToken;
    const isLast = index === stream.maxTokens - 1;
    if (stream.sentTokens !== stream.gapAtToken) {
      stream.response.write(encodeToken(stream, index, isLast));
    }
    stream.nextToken += 1;
    stream.sentTokens += 1;
    if (stream.sentTokens === stream.truncateAtToken) {
      stream.response.destroy();
      return false;
    }
    if (isLast) {
      completeStream(stream);
      return false;
    }
    return true;
  };

  const runDecodeStep = (): void => {
    const nowMs = Date.now();
    running = running.filter((stream) => stream.prefillEndsAtMs > nowMs || sendNextToken(stream));
    while (running.length < options.maxBatch && queued.length > 0) {
      running.push(queued.shift()!);
    }
    timer = running.length > 0 ? setTimeout(runDecodeStep, options.tokenMs) : null;
  };

  const enqueue = (stream: Stream): void => {
    stats.started += 1;
    const position = queued.findIndex((other) => other.priority > stream.priority);
    queued.splice(position < 0 ? queued.length : position, 0, stream);
    stream.response.on('close', () => {
      if (!stream.response.writableEnded) {
        stats.cancelled += 1;
        running = running.filter((other) => other !== stream);
        queued = queued.filter((other) => other !== stream);
      }
    });
    timer ??= setTimeout(runDecodeStep, 0);
  };

  const refuse = (response: ServerResponse, reason: EngineRefusal, status: number): void => {
    response.setHeader(REFUSED_HEADER, reason);
    sendJson(response, { error: { message: reason, code: reason } }, status);
  };

  const createStream = (
    kind: CompletionKind,
    request: IncomingMessage,
    response: ServerResponse,
    body: CompletionBody,
  ): Stream => {
    const prompt = getPrompt(body);
    const isCached = cachePrefix(prompt);
    stats.cacheHits += isCached ? 1 : 0;
    const prefillMs = isCached ? 0 : estimateTokens(prompt) * options.prefillMsPerToken;
    const id = consumeFault('wrongIds') ? 'other.1' : String(request.headers[REQUEST_ID_HEADER]);
    return {
      id,
      kind,
      model: body.model,
      seed: hashText(prompt),
      priority: body.priority ?? DEFAULT_PRIORITY,
      maxTokens: body.max_tokens ?? 16,
      response,
      truncateAtToken: consumeFault('truncations') ? faults.truncateAfterTokens : -1,
      gapAtToken: consumeFault('gaps') ? 1 : -1,
      stallAtToken: consumeFault('stalls') ? 1 : -1,
      hasEndMarker: !consumeFault('missingEnds'),
      nextToken: Number(request.headers[RESUME_HEADER] ?? 0),
      sentTokens: 0,
      prefillEndsAtMs: Date.now() + prefillMs,
    };
  };

  const createCompletionHandler =
    (kind: CompletionKind): StandInHandler =>
    (request, response, text) => {
      const body = JSON.parse(text) as CompletionBody;
      const { authorization } = request.headers;
      if (authorization !== undefined) {
        keysSeen.push(authorization);
      }
      if (faults.leaving) {
        refuse(response, EngineRefusal.Leaving, 503);
        return;
      }
      if (!isLoaded(body.model)) {
        refuse(response, EngineRefusal.NotLoaded, 404);
        return;
      }
      if (queued.length >= options.maxQueue) {
        refuse(response, EngineRefusal.Full, 503);
        return;
      }
      if (consumeFault('loseRequests')) {
        request.socket.destroy();
        return;
      }
      const stream = createStream(kind, request, response, body);
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      if (stream.nextToken >= stream.maxTokens) {
        completeStream(stream);
        return;
      }
      enqueue(stream);
    };

  /** Starts a load. Its memory counts as used from the start of the load. */
  const startLoad = (order: OrderBody): void => {
    stats.loads += 1;
    loading.set(order.tag, order.memoryMb ?? 0);
    if (getUsedMb() > options.memoryMb) {
      stats.overcommits += 1;
    }
    recordReport();
    setTimeout(() => {
      loaded.set(order.tag, order.memoryMb ?? 0);
      loading.delete(order.tag);
      recordReport();
    }, options.loadMs);
  };

  const ORDER_ACTIONS: Readonly<Record<OrderBody['kind'], (order: OrderBody) => void>> = {
    load: startLoad,
    unload: (order) => {
      loaded.delete(order.tag);
      recordReport();
    },
    role: () => {},
  };

  const handleOrder: StandInHandler = (request, response, text) => {
    const order = JSON.parse(text) as OrderBody;
    if (consumeFault('loseOrders')) {
      request.socket.destroy();
      return;
    }
    setTimeout(() => {
      if (options.checksFencing && order.fence < highestFence) {
        stats.staleOrders += 1;
        sendJson(response, { accepted: false, highestFence }, 409);
        return;
      }
      highestFence = Math.max(highestFence, order.fence);
      if (!appliedOrders.has(order.orderId)) {
        appliedOrders.set(order.orderId, true);
        ORDER_ACTIONS[order.kind](order);
      }
      if (consumeFault('loseOrderAnswers')) {
        request.socket.destroy();
        return;
      }
      sendJson(response, { accepted: true });
    }, faults.orderDelayMs);
  };

  const handlers: Record<string, StandInHandler> = {
    [`POST ${ENGINE_PATHS[CompletionKind.Text]}`]: createCompletionHandler(CompletionKind.Text),
    [`POST ${ENGINE_PATHS[CompletionKind.Chat]}`]: createCompletionHandler(CompletionKind.Chat),
    [`GET ${ENGINE_LOAD_PATH}`]: (_request, response) => {
      recordReport();
      const { report } = reports[0]!;
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(encodeLoadReport(report));
    },
    'POST /engine/orders': handleOrder,
    'GET /engine/cache-events': (request, response) => {
      const after = Number(new URL(request.url ?? '/', 'http://engine').searchParams.get('after'));
      sendJson(response, { events: cacheEvents.filter(({ sequence }) => sequence > after) });
    },
    'POST /engine/kv/export': (_request, response, text) => {
      const { prefix } = JSON.parse(text) as { prefix: number };
      sendJson(response, { prefix, isKnown: prefixes.includes(prefix) });
    },
    'POST /engine/kv/import': (_request, response, text) => {
      const { prefix } = JSON.parse(text) as { prefix: number };
      prefixes.push(prefix);
      sendJson(response, { prefix });
    },
    'POST /faults': (_request, response, text) => {
      faults = { ...faults, ...(JSON.parse(text) as Partial<EngineFaults>) };
      recordReport();
      sendJson(response, faults);
    },
    'GET /stats': (_request, response) => {
      sendJson(response, { ...stats, keysSeen } satisfies EngineStats);
    },
  };
  recordReport();
  return startHandlerServer(port, handlers, (_request, response) =>
    sendJson(response, { error: { message: 'not found' } }, 404),
  );
}
