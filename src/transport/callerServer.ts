/**
 * The HTTP server for callers. Serves the OpenAI-compatible API and the routes that operators
 * configure, and turns each accepted request into an exchange and an event for the loop.
 */
import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Either } from 'purify-ts';
import { findWorkspace } from '../coordination/admission.js';
import { EventKind, type VmEvent } from '../coordination/events.js';
import { createRefusal } from '../coordination/requestCompletion.js';
import { ENGINE_PATHS } from '../protocol/engine.js';
import { hashSha256 } from '../protocol/documentText.js';
import {
  CompletionKind,
  type CompletionRequest,
  decodeCompletionRequest,
  encodeModelList,
} from '../protocol/openai.js';
import { encodeRefusal, getRefusalHeaders, getStatus } from '../protocol/statusCodes.js';
import { type Configuration, isAllowed } from '../state/configuration.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { RunStatus, type Target, TargetKind } from '../state/types.js';
import { closeAfterRejection } from './closeAfterRejection.js';
import { type CallerReader, createCallerReader } from './entry/callers/callerReader.js';
import { type BodyMemory, createBodyMemory } from './bodyMemory.js';
import { readAllHeaderLines } from './headerLines.js';
import { readBody } from './requestBody.js';
import { leaveTurnOfBody, type TurnPacer } from './turnPacer.js';
import { MemoryPurpose, type VmMemory } from './vmMemory.js';
import { createExchange, type Exchange } from './exchange.js';

const BEARER_PATTERN = /^Bearer\s+(\S+)\s*$/i;
const MODELS_PATH = '/v1/models';
const API_PREFIX = '/v1/';
const DEFAULT_PRIORITY = 5;
const KEEP_ALIVE_MS = 65_000;
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** The parser allows for `http.maxHeaderSize` bytes of headers; a request line may be as long. */
const MAX_HEAD_BYTES = 2 * http.maxHeaderSize;
/**
 * Matches dot segments, encoded slashes and backslashes, which a backend server may resolve to another
 * path.
 */
const UNSAFE_PATH_PATTERN = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|$)|%2f|%5c|\\/i;

/** Dependencies and limits of the server. */
export interface CallerContext {
  readonly post: (event: VmEvent) => void;
  readonly getWallMs: () => number;
  readonly getConfiguration: () => Configuration | null;
  readonly isReady: () => boolean;
  /** Open exchanges by request id, shared with the command table. */
  readonly exchanges: Map<string, Exchange>;
  readonly createRequestId: () => string;
  /** Bounds the bodies of all requests together, until their answers have ended. */
  readonly vmMemory: VmMemory;
  readonly turnPacer: TurnPacer;
  readonly limits: {
    readonly maxBodyBytes: number;
    readonly maxConnections: number;
    readonly bodyTimeoutMs: number;
    readonly requestTimeoutMs: number;
    readonly defaultMaxTokens: number;
  };
}

/**
 * Returns the digest of the API key in a request, or null if there is none. The key itself is not
 * stored.
 */
export function getKeyDigest(request: IncomingMessage): string | null {
  const key = BEARER_PATTERN.exec(request.headers.authorization ?? '')?.[1];
  return key === undefined ? null : hashSha256(key);
}

function getPath(request: IncomingMessage): string {
  const [path = '/'] = (request.url ?? '/').split('?');
  return path;
}

/** Rejects a request for which no exchange was created, and closes its connection. */
function rejectRequest(response: ServerResponse, diagnostic: Diagnostic): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  const refusal = createRefusal(diagnostic, RunStatus.NotRun);
  response.writeHead(getStatus(diagnostic), {
    ...getRefusalHeaders(refusal),
    connection: 'close',
  });
  response.end(encodeRefusal(refusal));
}

function getIdempotencyDigest(request: IncomingMessage): string | null {
  const header = request.headers['idempotency-key'];
  return typeof header === 'string' && header !== '' ? hashSha256(header) : null;
}

interface ParsedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  readonly bodyMemory: BodyMemory;
  readonly completion: CompletionRequest | null;
  readonly target: Target;
}

function startExchange(context: CallerContext, parsed: ParsedRequest): void {
  const { completion, request, response, target } = parsed;
  const requestId = context.createRequestId();
  const info = {
    requestId,
    keyDigest: getKeyDigest(request),
    target,
    priority: completion?.priority ?? DEFAULT_PRIORITY,
    timeoutMs: context.limits.requestTimeoutMs,
    idempotencyDigest: getIdempotencyDigest(request),
  };
  const { body, bodyMemory } = parsed;
  const createdAtMs = context.getWallMs();
  const fields = { info, request, response, body, completion, createdAtMs };
  const exchange = createExchange(fields, bodyMemory);
  context.exchanges.set(requestId, exchange);
  response.on('close', () => {
    if (!exchange.isEnded) {
      const { deliveredTokens } = exchange;
      context.post({ kind: EventKind.CallerDisconnected, requestId, deliveredTokens });
    }
  });
  context.post({ kind: EventKind.RequestArrived, request: info });
}

type Handler = (
  context: CallerContext,
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void> | void;

function withBody(
  context: CallerContext,
  request: IncomingMessage,
  response: ServerResponse,
  handleBody: (body: Buffer, bodyMemory: BodyMemory) => void,
): Promise<void> {
  const { limits, turnPacer, vmMemory } = context;
  const held = vmMemory.hold(MemoryPurpose.RequestBodies);
  const bodyMemory = createBodyMemory(held);
  response.once('close', bodyMemory.endResponse);
  const maxHeldBytes = vmMemory.getMaxBytes(MemoryPurpose.RequestBodies);
  const body = readBody(request, limits.maxBodyBytes, held, maxHeldBytes, (paced, sizeBytes) =>
    leaveTurnOfBody(turnPacer, paced, sizeBytes),
  );
  return body.then((result) => {
    result.caseOf({
      Left: (diagnostic) => rejectRequest(response, diagnostic),
      Right: (bytes) => handleBody(bytes, bodyMemory),
    });
  });
}

function createCompletionHandler(kind: CompletionKind): Handler {
  return (context, request, response) =>
    withBody(context, request, response, (body, bodyMemory) => {
      const { defaultMaxTokens } = context.limits;
      decodeCompletionRequest(kind, body.toString(), defaultMaxTokens).caseOf({
        Left: (diagnostic) => rejectRequest(response, diagnostic),
        Right: (completion) => {
          const { target } = completion;
          startExchange(context, { request, response, body, bodyMemory, completion, target });
        },
      });
    });
}

function listModels(
  configuration: Configuration,
  request: IncomingMessage,
): Either<Diagnostic, string> {
  return findWorkspace(configuration, getKeyDigest(request)).map((workspace) =>
    encodeModelList(
      configuration.document.models.models.filter((model) =>
        isAllowed(workspace.models, model.name),
      ),
    ),
  );
}

const handleModelList: Handler = (context, request, response) => {
  const configuration = context.getConfiguration();
  if (configuration === null) {
    rejectRequest(response, createDiagnostic(Diagnostics.NotConfigured));
    return;
  }
  listModels(configuration, request).caseOf({
    Left: (diagnostic) => rejectRequest(response, diagnostic),
    Right: (text) => {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(text);
    },
  });
};

const handleRoute: Handler = (context, request, response) => {
  const { method = 'GET' } = request;
  const path = getPath(request);
  if (path.startsWith(API_PREFIX) || UNSAFE_PATH_PATTERN.test(path)) {
    rejectRequest(response, createDiagnostic(Diagnostics.UnknownRoute, method, path));
    return undefined;
  }
  const target: Target = { kind: TargetKind.Route, method, path };
  return withBody(context, request, response, (body, bodyMemory) =>
    startExchange(context, { request, response, body, bodyMemory, completion: null, target }),
  );
};

/** Handlers of the API by method and path. `handleRoute` handles all other requests. */
const API_HANDLERS: Readonly<Record<string, Handler>> = {
  [`POST ${ENGINE_PATHS[CompletionKind.Text]}`]: createCompletionHandler(CompletionKind.Text),
  [`POST ${ENGINE_PATHS[CompletionKind.Chat]}`]: createCompletionHandler(CompletionKind.Chat),
  [`GET ${MODELS_PATH}`]: handleModelList,
};

function writeRawRefusal(socket: Socket, status: string, diagnostic: Diagnostic): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const body = encodeRefusal(createRefusal(diagnostic, RunStatus.NotRun));
  const head = [
    `HTTP/1.1 ${status}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
  closeAfterRejection(socket);
}

interface ClientErrorResponse {
  readonly status: string;
  readonly createDiagnostic: (context: CallerContext) => Diagnostic;
}

const HEADER_OVERFLOW: ClientErrorResponse = {
  status: '431 Request Header Fields Too Large',
  createDiagnostic: () => createDiagnostic(Diagnostics.MalformedBody, 'the headers are too large'),
};

/** For a connection whose unfinished head or unparsed data there is no memory for. */
const EXHAUSTED_RESPONSE: ClientErrorResponse = {
  status: '503 Service Unavailable',
  createDiagnostic: ({ vmMemory }) =>
    createDiagnostic(Diagnostics.MemoryExhausted, vmMemory.getMaxBytes(MemoryPurpose.RequestHeads)),
};

const CLIENT_ERROR_RESPONSES: Readonly<Record<string, ClientErrorResponse>> = {
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: '408 Request Timeout',
    createDiagnostic: ({ limits }) =>
      createDiagnostic(Diagnostics.BodyTimeout, limits.bodyTimeoutMs),
  },
  HPE_HEADER_OVERFLOW: HEADER_OVERFLOW,
};

const DEFAULT_CLIENT_ERROR_RESPONSE: ClientErrorResponse = {
  status: '400 Bad Request',
  createDiagnostic: () => createDiagnostic(Diagnostics.MalformedBody, 'it is not HTTP'),
};

/** Rejects what came on a connection after its requests that were read whole, and closes it. What it sends from now on is dropped. */
function rejectConnection(
  context: CallerContext,
  reader: CallerReader,
  socket: Socket,
  { createDiagnostic: create, status }: ClientErrorResponse,
): void {
  reader.stop(socket);
  reader.onAnswered(socket, () => writeRawRefusal(socket, status, create(context)));
}

/** Starts to read the connections of the server. */
function startReader(context: CallerContext, server: Server): CallerReader {
  const reader = createCallerReader(
    {
      vmMemory: context.vmMemory,
      getMaxHeadBytes: () => MAX_HEAD_BYTES,
      onOverlongHead: (socket) => rejectConnection(context, reader, socket, HEADER_OVERFLOW),
      onExhausted: (socket) => rejectConnection(context, reader, socket, EXHAUSTED_RESPONSE),
    },
    server,
  );
  return reader;
}

/** Creates the server without starting to listen. */
export function createCallerServer(context: CallerContext): Server {
  const { bodyTimeoutMs, maxConnections } = context.limits;
  const options = {
    requestTimeout: bodyTimeoutMs,
    headersTimeout: bodyTimeoutMs,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
  };
  const server = readAllHeaderLines(http.createServer(options));
  const reader = startReader(context, server);
  server.on('request', (request, response) => {
    if (!context.isReady()) {
      response.setHeader('connection', 'close');
    }
    response.on('error', () => response.destroy());
    reader.addRequest(request, response);
    const handler = API_HANDLERS[`${request.method} ${getPath(request)}`] ?? handleRoute;
    void handler(context, request, response);
  });
  server.maxConnections = maxConnections;
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    const errorResponse = CLIENT_ERROR_RESPONSES[error.code ?? ''] ?? DEFAULT_CLIENT_ERROR_RESPONSE;
    rejectConnection(context, reader, socket, errorResponse);
  });
  return server;
}
