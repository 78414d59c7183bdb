/**
 * The HTTP server for callers whose requests are forwarded as they came, and the small one for the
 * platform's question whether this VM is ready.
 */
import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type EntryEvent, EntryEventKind } from '../../coordination/entry/events.js';
import { createRefusal } from '../../coordination/requestCompletion.js';
import { getForwardRefusalHeaders, getForwardStatus } from '../../protocol/entry/refusals.js';
import { encodeRefusal } from '../../protocol/statusCodes.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../state/diagnostics.js';
import type { CallerLimits } from '../../state/entry/deployment.js';
import { RunClaim } from '../../state/types.js';
import { readBody } from '../bodies.js';
import { createForwardExchange, type ForwardExchange } from './exchange.js';
import type { EntryWire, RequestHead } from './wire.js';

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_HEADERS_TOO_LARGE = 431;
const HTTP_UNAVAILABLE = 503;
/** Node.js parses headers up to this; the limit in force is checked after it. */
const MAX_HEADER_BYTES = 131_072;
/** Node.js closes an idle connection a little later than callers stop using it. */
const IDLE_SLACK_MS = 1_000;
/** How often Node.js looks for connections that take too long. */
const CHECK_INTERVAL_MS = 500;
/** Bytes of a header line besides its name and value. */
const HEADER_LINE_BYTES = 4;

/** What the server works with. */
export interface ForwardServerContext {
  readonly post: (event: EntryEvent) => void;
  readonly wire: EntryWire;
  readonly exchanges: Map<string, ForwardExchange>;
  readonly createRequestId: () => string;
  /** Null until a configuration is in force. */
  readonly getLimits: () => CallerLimits | null;
  /** True once the VM is stopping: every answer ends its connection. */
  readonly isStopping: () => boolean;
  readonly maxConnections: number;
}

function refuse(
  response: ServerResponse,
  diagnostic: Diagnostic,
  status = getForwardStatus(createRefusal(diagnostic, RunClaim.NotRun)),
): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  const refusal = createRefusal(diagnostic, RunClaim.NotRun);
  response.writeHead(status, [...getForwardRefusalHeaders(refusal), 'Connection', 'close']);
  response.end(encodeRefusal(refusal));
}

function countHeaderBytes(rawHeaders: readonly string[]): number {
  const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return textBytes + (rawHeaders.length / 2) * HEADER_LINE_BYTES;
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
  response.shouldKeepAlive &&= !context.isStopping();
  response.on('close', () => {
    if (!exchange.isEnded) {
      context.post({ kind: EntryEventKind.CallerDisconnected, requestId });
    }
  });
  context.post({ kind: EntryEventKind.RequestArrived, request: { ...head, requestId } });
}

function takeRequest(
  context: ForwardServerContext,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const limits = context.getLimits();
  if (limits === null) {
    refuse(response, createDiagnostic(Diagnostics.NotConfigured));
    return;
  }
  if (countHeaderBytes(request.rawHeaders) > limits.maxHeaderBytes) {
    const diagnostic = createDiagnostic(Diagnostics.HeadersTooLarge, limits.maxHeaderBytes);
    refuse(response, diagnostic, HTTP_HEADERS_TOO_LARGE);
    return;
  }
  context.wire.decodeRequestHead(request.url ?? '/', request.rawHeaders).caseOf({
    Left: (diagnostic) => refuse(response, diagnostic),
    Right: (head) => {
      void readBody(request, limits.maxBodyBytes).then((result) => {
        result.caseOf({
          Left: (diagnostic) => refuse(response, diagnostic),
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

/** Creates the server for callers. It does not listen yet. */
export function createForwardServer(context: ForwardServerContext): Server {
  const server = http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      noDelay: true,
      keepAlive: true,
    },
    (request, response) => takeRequest(context, request, response),
  );
  server.maxConnections = context.maxConnections;
  return server;
}

/** Sets the times that callers have. */
export function applyLimits(server: Server, limits: CallerLimits): void {
  server.headersTimeout = limits.headerTimeoutMs;
  server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_SLACK_MS;
}

/** Creates the server that tells the platform whether this VM is ready. */
export function createReadyServer(readyPath: string, isReady: () => boolean): Server {
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
