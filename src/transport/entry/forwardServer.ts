/**
 * Creates the HTTP server that receives the requests to be forwarded to backend servers, and the HTTP server for the
 * platform's readiness checks.
 */
import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type EntryEvent, EntryEventKind } from '../../coordination/entry/events.js';
import { createRefusal } from '../../coordination/requestCompletion.js';
import {
  getForwardRefusalHeaders,
  getForwardRefusalStatus,
} from '../../protocol/entry/refusals.js';
import { encodeRefusal } from '../../protocol/statusCodes.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../state/diagnostics.js';
import type { CallerLimits } from '../../state/entry/deployment.js';
import { RunStatus } from '../../state/types.js';
import { readBody } from '../requestBody.js';
import { createForwardExchange, type ForwardExchange } from './exchange.js';
import { type LoopDelayMonitor, runAfterUnreadData } from './loopDelay.js';
import type { EntryWire, RequestHead } from './wire.js';

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_HEADERS_TOO_LARGE = 431;
const HTTP_UNAVAILABLE = 503;
/** Limit of the parser of Node.js. The configured limit is checked after parsing. */
const MAX_HEADER_BYTES = 131_072;
/** Added to the idle timeout, so that callers stop using an idle connection before Node.js closes it. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;
/** Interval at which Node.js checks for connections that have exceeded the header timeout. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
/** Bytes of a header line besides its name and value: colon, space, CR and LF. */
const HEADER_LINE_OVERHEAD_BYTES = 4;

/** Dependencies of the server for callers. */
export interface ForwardServerContext {
  readonly post: (event: EntryEvent) => void;
  readonly wire: EntryWire;
  readonly exchanges: Map<string, ForwardExchange>;
  readonly createRequestId: () => string;
  /** Returns null until a configuration is in force. */
  readonly getLimits: () => CallerLimits | null;
  /** Returns true during a graceful shutdown: every response then closes its connection. */
  readonly isShuttingDown: () => boolean;
  readonly maxConnections: number;
  readonly loopDelay: Pick<LoopDelayMonitor, 'getDelayMs' | 'isBehind'>;
}

/** Rejects a request for which no exchange exists, and closes its connection. */
function sendRefusal(
  response: ServerResponse,
  diagnostic: Diagnostic,
  status = getForwardRefusalStatus(createRefusal(diagnostic, RunStatus.NotRun)),
): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  const refusal = createRefusal(diagnostic, RunStatus.NotRun);
  response.writeHead(status, [...getForwardRefusalHeaders(refusal), 'Connection', 'close']);
  response.end(encodeRefusal(refusal));
}

function getHeaderBytes(rawHeaders: readonly string[]): number {
  const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return textBytes + (rawHeaders.length / 2) * HEADER_LINE_OVERHEAD_BYTES;
}

function startExchange(
  context: ForwardServerContext,
  request: IncomingMessage,
  response: ServerResponse,
  body: Buffer,
  head: RequestHead,
): void {
  const requestId = context.createRequestId();
  const { callerRequestId } = head;
  const exchange = createForwardExchange({ requestId, callerRequestId, request, response, body });
  context.exchanges.set(requestId, exchange);
  response.shouldKeepAlive &&= !context.isShuttingDown();
  let isAdmitted = false;
  const leave = (): void => {
    if (!isAdmitted) {
      context.exchanges.delete(requestId);
    } else if (!exchange.isEnded) {
      context.post({ kind: EntryEventKind.CallerDisconnected, requestId });
    }
    exchange.isEnded = true;
  };
  // The end of the connection is read several turns of the loop before the connection is closed.
  request.socket.once('end', leave);
  response.on('close', () => {
    request.socket.off('end', leave);
    leave();
  });
  const arrive = (delayMs: number): void => {
    if (!exchange.isEnded) {
      isAdmitted = true;
      const kind = EntryEventKind.RequestArrived;
      context.post({ kind, request: { ...head, requestId }, delayMs });
    }
  };
  const { getDelayMs, isBehind } = context.loopDelay;
  const delayMs = getDelayMs();
  runAfterUnreadData(isBehind(), () => arrive(delayMs));
}

function handleRequest(
  context: ForwardServerContext,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const limits = context.getLimits();
  if (limits === null) {
    sendRefusal(response, createDiagnostic(Diagnostics.NotConfigured));
    return;
  }
  if (getHeaderBytes(request.rawHeaders) > limits.maxHeaderBytes) {
    const diagnostic = createDiagnostic(Diagnostics.HeadersTooLarge, limits.maxHeaderBytes);
    sendRefusal(response, diagnostic, HTTP_HEADERS_TOO_LARGE);
    return;
  }
  context.wire.decodeRequestHead(request.url ?? '/', request.rawHeaders).caseOf({
    Left: (diagnostic) => sendRefusal(response, diagnostic),
    Right: (head) => {
      void readBody(request, limits.maxBodyBytes).then((result) => {
        result.caseOf({
          Left: (diagnostic) => sendRefusal(response, diagnostic),
          Right: (body) => {
            if (!response.destroyed) {
              startExchange(context, request, response, body, head);
            }
          },
        });
      });
    },
  });
}

/** Creates the server for callers, without starting to listen. */
export function createForwardServer(context: ForwardServerContext): Server {
  const server = http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      noDelay: true,
      keepAlive: true,
    },
    (request, response) => handleRequest(context, request, response),
  );
  server.maxConnections = context.maxConnections;
  return server;
}

/** Sets the header timeout and the idle timeout of the server for callers. */
export function applyCallerTimeouts(server: Server, limits: CallerLimits): void {
  server.headersTimeout = limits.headerTimeoutMs;
  server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;
}

/** Creates the server for the platform's readiness checks, without starting to listen. */
export function createReadinessServer(readyPath: string, isReady: () => boolean): Server {
  return http.createServer((request, response) => {
    const [path] = (request.url ?? '/').split('?');
    if (path !== readyPath) {
      response.writeHead(HTTP_NOT_FOUND);
    } else {
      response.writeHead(isReady() ? HTTP_OK : HTTP_UNAVAILABLE);
    }
    response.end();
  });
}
