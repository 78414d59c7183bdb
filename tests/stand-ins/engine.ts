/**
 * Stand-in of a model engine: continuous batching, priorities, resume and cancel, a prefix cache, load
 * reports with a lag, orders with or without fencing, and traps for what must never happen to it.
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
import { sendJson, serveTable, type StandInHandler } from './http.js';

const PREFIX_LENGTH = 256;
const MAX_CACHED_PREFIXES = 64;
const DEFAULT_PRIORITY = 5;
const VOCABULARY = 1000;

/** How an engine is made. */
export interface EngineOptions {
  readonly memoryMb: number;
  readonly maxBatch: number;
  readonly maxQueue: number;
  /** Time between two tokens of each running request. */
  readonly tokenMs: number;
  /** Time to read a token of a prompt that is not cached. */
  readonly prefillMsPerToken: number;
  readonly reportLagMs: number;
  readonly loadMs: number;
  readonly checksFencing: boolean;
  /** Loaded from the start: tag and size. */
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

/** What can be made to go wrong. Counts are used up one request at a time. */
export interface EngineFaults {
  leaving: boolean;
  /** Streams are cut after so many tokens; zero for none. */
  truncateAfterTokens: number;
  truncations: number;
  /** The stream ends after its tokens without its end mark. */
  missingEnds: number;
  wrongIds: number;
  /** A token is left out of the stream. */
  gaps: number;
  /** The connection is cut after the request was read. */
  loseRequests: number;
  /** A stream stands still after its first token. */
  stalls: number;
  loseOrders: number;
  /** Orders that take effect although their answers are lost. */
  loseOrderAnswers: number;
  orderDelayMs: number;
  /** Every n-th cache event is left out. */
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

/** What an engine has seen. */
export interface EngineStats {
  readonly started: number;
  readonly completed: number;
  readonly cancelled: number;
  readonly cacheHits: number;
  /** Times that loaded models took more than the memory. */
  readonly overcommits: number;
  readonly staleOrders: number;
  readonly loads: number;
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
  readonly truncateAt: number;
  readonly gapAt: number;
  readonly stallAt: number;
  readonly hasEnd: boolean;
  nextToken: number;
  sentTokens: number;
  readyAtMs: number;
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

/** The token at a place of an answer; the same on every engine. */
export function getToken(seed: number, index: number): string {
  return ` w${hashText(`${seed}/${index}`) % VOCABULARY}`;
}

/** The text that any engine generates for a prompt. */
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

const CHOICES: Readonly<Record<CompletionKind, (text: string) => object>> = {
  [CompletionKind.Text]: (text) => ({ text }),
  [CompletionKind.Chat]: (text) => ({ delta: { content: text } }),
};

const OBJECTS: Readonly<Record<CompletionKind, string>> = {
  [CompletionKind.Text]: 'text_completion',
  [CompletionKind.Chat]: 'chat.completion.chunk',
};

function encodeToken(stream: Stream, index: number, isLast: boolean): string {
  const choice = CHOICES[stream.kind](getToken(stream.seed, index));
  const chunk = {
    id: stream.id,
    object: OBJECTS[stream.kind],
    created: 0,
    model: stream.model,
    choices: [{ index: 0, ...choice, finish_reason: isLast ? 'length' : null }],
    token_index: index,
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

/** Starts the stand-in. */
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
  const seenOrders = new Map<string, boolean>();
  let highestFence = 0;
  let running: Stream[] = [];
  let queued: Stream[] = [];
  const prefixes: number[] = [];
  const cacheEvents: { readonly sequence: number; readonly prefix: number }[] = [];
  let cacheSequence = 0;
  const reports: { readonly atMs: number; readonly report: LoadReport }[] = [];
  let timer: NodeJS.Timeout | null = null;

  const takeFault = (
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

  const noteReport = (): void => {
    const atMs = Date.now();
    reports.push({ atMs, report: createReport() });
    while (reports.length > 1 && reports[1]!.atMs <= atMs - options.reportLagMs) {
      reports.shift();
    }
  };

  const isLoaded = (model: string): boolean =>
    [...loaded.keys()].some((tag) => tag.startsWith(`${model}@`));

  const usePrefix = (prompt: string): boolean => {
    const prefix = hashText(prompt.slice(0, PREFIX_LENGTH));
    const at = prefixes.indexOf(prefix);
    if (at >= 0) {
      prefixes.splice(at, 1);
    }
    prefixes.push(prefix);
    if (prefixes.length > MAX_CACHED_PREFIXES) {
      prefixes.shift();
    }
    cacheSequence += 1;
    const isGap = faults.cacheEventGap > 0 && cacheSequence % faults.cacheEventGap === 0;
    if (at < 0 && !isGap) {
      cacheEvents.push({ sequence: cacheSequence, prefix });
    }
    return at >= 0;
  };

  const finish = (stream: Stream): void => {
    stats.completed += 1;
    if (stream.hasEnd) {
      stream.response.end('data: [DONE]\n\n');
    } else {
      stream.response.end();
    }
  };

  /** Sends the next token and tells whether the stream goes on. */
  const advance = (stream: Stream): boolean => {
    if (stream.response.destroyed) {
      return false;
    }
    if (stream.sentTokens === stream.stallAt) {
      return true;
    }
    const index = stream.nextToken;
    const isLast = index === stream.maxTokens - 1;
    if (stream.sentTokens !== stream.gapAt) {
      stream.response.write(encodeToken(stream, index, isLast));
    }
    stream.nextToken += 1;
    stream.sentTokens += 1;
    if (stream.sentTokens === stream.truncateAt) {
      stream.response.destroy();
      return false;
    }
    if (isLast) {
      finish(stream);
      return false;
    }
    return true;
  };

  const tick = (): void => {
    const nowMs = Date.now();
    running = running.filter((stream) => stream.readyAtMs > nowMs || advance(stream));
    while (running.length < options.maxBatch && queued.length > 0) {
      running.push(queued.shift()!);
    }
    timer = running.length > 0 ? setTimeout(tick, options.tokenMs) : null;
  };

  const enqueue = (stream: Stream): void => {
    stats.started += 1;
    const at = queued.findIndex((other) => other.priority > stream.priority);
    queued.splice(at < 0 ? queued.length : at, 0, stream);
    stream.response.on('close', () => {
      if (!stream.response.writableEnded) {
        stats.cancelled += 1;
        running = running.filter((other) => other !== stream);
        queued = queued.filter((other) => other !== stream);
      }
    });
    timer ??= setTimeout(tick, 0);
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
    const isCached = usePrefix(prompt);
    stats.cacheHits += isCached ? 1 : 0;
    const prefillMs = isCached ? 0 : estimateTokens(prompt) * options.prefillMsPerToken;
    const id = takeFault('wrongIds') ? 'other.1' : String(request.headers[REQUEST_ID_HEADER]);
    return {
      id,
      kind,
      model: body.model,
      seed: hashText(prompt),
      priority: body.priority ?? DEFAULT_PRIORITY,
      maxTokens: body.max_tokens ?? 16,
      response,
      truncateAt: takeFault('truncations') ? faults.truncateAfterTokens : -1,
      gapAt: takeFault('gaps') ? 1 : -1,
      stallAt: takeFault('stalls') ? 1 : -1,
      hasEnd: !takeFault('missingEnds'),
      nextToken: Number(request.headers[RESUME_HEADER] ?? 0),
      sentTokens: 0,
      readyAtMs: Date.now() + prefillMs,
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
      if (takeFault('loseRequests')) {
        request.socket.destroy();
        return;
      }
      const stream = createStream(kind, request, response, body);
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      if (stream.nextToken >= stream.maxTokens) {
        finish(stream);
        return;
      }
      enqueue(stream);
    };

  /** Memory is taken from the start of a load on. */
  const load = (order: OrderBody): void => {
    stats.loads += 1;
    loading.set(order.tag, order.memoryMb ?? 0);
    if (getUsedMb() > options.memoryMb) {
      stats.overcommits += 1;
    }
    noteReport();
    setTimeout(() => {
      loaded.set(order.tag, order.memoryMb ?? 0);
      loading.delete(order.tag);
      noteReport();
    }, options.loadMs);
  };

  const ORDER_ACTIONS: Readonly<Record<OrderBody['kind'], (order: OrderBody) => void>> = {
    load,
    unload: (order) => {
      loaded.delete(order.tag);
      noteReport();
    },
    role: () => {},
  };

  const takeOrder: StandInHandler = (request, response, text) => {
    const order = JSON.parse(text) as OrderBody;
    if (takeFault('loseOrders')) {
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
      if (!seenOrders.has(order.orderId)) {
        seenOrders.set(order.orderId, true);
        ORDER_ACTIONS[order.kind](order);
      }
      if (takeFault('loseOrderAnswers')) {
        request.socket.destroy();
        return;
      }
      sendJson(response, { accepted: true });
    }, faults.orderDelayMs);
  };

  const table: Record<string, StandInHandler> = {
    [`POST ${ENGINE_PATHS[CompletionKind.Text]}`]: createCompletionHandler(CompletionKind.Text),
    [`POST ${ENGINE_PATHS[CompletionKind.Chat]}`]: createCompletionHandler(CompletionKind.Chat),
    [`GET ${ENGINE_LOAD_PATH}`]: (_request, response) => {
      noteReport();
      const { report } = reports[0]!;
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(encodeLoadReport(report));
    },
    'POST /engine/orders': takeOrder,
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
      noteReport();
      sendJson(response, faults);
    },
    'GET /stats': (_request, response) => {
      sendJson(response, { ...stats, keysSeen } satisfies EngineStats);
    },
  };
  noteReport();
  return serveTable(port, table, (_request, response) =>
    sendJson(response, { error: { message: 'not found' } }, 404),
  );
}
