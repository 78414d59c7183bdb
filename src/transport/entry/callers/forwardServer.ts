/**
 * Creates the HTTP server that receives the requests to be forwarded to backend servers, and the HTTP server for the
 * platform's readiness checks.
 */
import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { EntryLogPrefix } from '../../../coordination/entry/commands.js';
import { CloseCause } from '../../../coordination/entry/closeCause.js';
import { type EntryEvent, EntryEventKind } from '../../../coordination/entry/events.js';
import { LogLevel } from '../../../coordination/events.js';
import { createRefusal } from '../../../coordination/requestCompletion.js';
import { createContentDigest } from '../../../protocol/entry/contentDigest.js';
import {
  getForwardRefusalHeaders,
  getForwardRefusalStatus,
} from '../../../protocol/entry/refusals.js';
import { encodeRefusal } from '../../../protocol/statusCodes.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../../state/diagnostics.js';
import type { CallerLimits } from '../../../state/entry/deployment.js';
import { RunStatus } from '../../../state/types.js';
import { readAllHeaderLines } from '../../headerLines.js';
import { type BodyMemory, createBodyMemory } from '../../bodyMemory.js';
import { readBody } from '../../requestBody.js';
import { MemoryPurpose, type VmMemory } from '../../vmMemory.js';
import type { CallerConnections } from './callerConnections.js';
import { getParsedHeadBytes } from './callerPieces.js';
import { type CallerReader, createCallerReader } from './callerReader.js';
import { closeIfIdle, handleConnectionError, rejectConnection } from './connectionChecks.js';
import type { EntryLogWriter } from '../monitoring/entryLog.js';
import { createForwardExchange, type ForwardExchange } from './exchange.js';
import { closeIdleForNew } from './idleConnections.js';
import { type LoopDelayMonitor, runAfterUnreadData } from '../monitoring/loopDelay.js';
import { leaveTurnOfBody, type TurnPacer } from '../../turnPacer.js';
import type { EntryWire, RequestHead } from '../wire.js';

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_HEADERS_TOO_LARGE = 431;
const HTTP_UNAVAILABLE = 503;
/** Least limit of the parser of Node.js. The configured limit is checked before and after parsing. */
const MIN_PARSER_HEADER_BYTES = 131_072;
/** Limit for the headers of requests while no configuration is in force. */
const DEFAULT_MAX_HEADER_BYTES = 16_384;
/** Bytes of a head besides its headers: the request line, and spaces around values, which the limit does not count. */
const MAX_REQUEST_LINE_BYTES = 16_384;
/** Added to the idle timeout before it is announced, and to the announced time before a connection is closed. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;
/** Interval at which Node.js checks for connections that have exceeded the header timeout. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
/** Other VMs may hold the body now; the bodies held here end within some seconds. */
const MEMORY_RETRY_AFTER_MS = 300;
/** Bytes of a header line besides its name and value: colon, space, CR and LF. */
const HEADER_LINE_OVERHEAD_BYTES = 4;

/** Dependencies of the server for callers. */
export interface ForwardServerContext {
  readonly post: (event: EntryEvent) => void;
  readonly writeLog: EntryLogWriter;
  readonly connections: CallerConnections;
  readonly wire: EntryWire;
  readonly exchanges: Map<string, ForwardExchange>;
  readonly createRequestId: () => string;
  /** Returns null until a configuration is in force. */
  readonly getLimits: () => CallerLimits | null;
  /** Returns true during a graceful shutdown: the response to the last request that was read closes its connection. */
  readonly isShuttingDown: () => boolean;
  readonly maxConnections: number;
  readonly vmMemory: VmMemory;
  readonly turnPacer: TurnPacer;
  readonly loopDelay: Pick<LoopDelayMonitor, 'getDelayMs' | 'isBehind'>;
}

/** Counts a request that was read whole and whose answer is not complete, and returns what has closed its connection. */
function countCut(
  { connections, isShuttingDown }: ForwardServerContext,
  { socket }: IncomingMessage,
): CloseCause {
  if (isShuttingDown() && socket.errored === null) {
    connections.recordCause(socket, CloseCause.Shutdown);
  }
  const closedBy = connections.getCause(socket);
  connections.addCut(closedBy);
  return closedBy;
}

/** Reports such a request, unless the event loop reports its end. */
function reportCut(
  context: ForwardServerContext,
  request: IncomingMessage,
  callerRequestId: string,
  isDecided: boolean,
): void {
  const fields = { request: callerRequestId, closedBy: countCut(context, request), isDecided };
  const text = 'The connection of a request was closed before its answer was complete.';
  context.writeLog(LogLevel.Info, EntryLogPrefix.Request, text, fields);
}

/** Returns the idle time that answers announce to callers. */
function getAnnouncedIdleMs({ idleTimeoutMs }: CallerLimits): number {
  return idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;
}

/** Keeps the connection of an answer for as long as the answer announces, although a shorter timeout may be in force now. */
function keepAnnouncedIdleTime(
  { socket }: IncomingMessage,
  response: ServerResponse,
  limits: CallerLimits,
): void {
  const idleMs = getAnnouncedIdleMs(limits) + IDLE_TIMEOUT_MARGIN_MS;
  response.once('finish', () => {
    // Node.js has started the idle timer, unless the connection closes or has another request.
    const { timeout = 0 } = socket;
    if (timeout > 0 && timeout < idleMs) {
      socket.setTimeout(idleMs);
    }
  });
}

/** Rejects a request for which no exchange exists, and closes its connection. */
function sendRefusal(
  { writeLog }: ForwardServerContext,
  response: ServerResponse,
  diagnostic: Diagnostic,
  status = getForwardRefusalStatus(createRefusal(diagnostic, RunStatus.NotRun)),
): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  const isPassing = diagnostic.code === Diagnostics.MemoryExhausted.code;
  const retryAfterMs = isPassing ? MEMORY_RETRY_AFTER_MS : null;
  const refusal = createRefusal(diagnostic, RunStatus.NotRun, retryAfterMs);
  response.writeHead(status, [...getForwardRefusalHeaders(refusal), 'Connection', 'close']);
  response.end(encodeRefusal(refusal));
  const fields = { reason: diagnostic.key, detail: diagnostic.message };
  writeLog(LogLevel.Info, EntryLogPrefix.Request, 'The request was not admitted.', fields);
}

function getHeaderBytes(rawHeaders: readonly string[]): number {
  const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return textBytes + (rawHeaders.length / 2) * HEADER_LINE_OVERHEAD_BYTES;
}

/** Calls `onLeave` when the end of a caller's connection is read, and when the connection or the answer has ended. */
function watchConnection(
  { connections }: ForwardServerContext,
  exchange: ForwardExchange,
  onLeave: () => void,
): void {
  const { request, response } = exchange;
  const { socket } = request;
  // Node.js emits `finish` also for what could not be written because the connection was closed.
  response.prependOnceListener('finish', () => {
    exchange.isSent = !socket.destroyed && socket.errored === null;
  });
  const handleEnd = (): void => {
    connections.recordCause(socket, CloseCause.Caller);
    onLeave();
  };
  const handleClose = (): void => {
    connections.closeRequest(socket);
    socket.off('end', handleEnd);
    socket.off('close', handleClose);
    response.off('close', handleClose);
    if (exchange.isSent && !response.shouldKeepAlive) {
      connections.recordCause(socket, CloseCause.EarlierAnswer);
    }
    onLeave();
  };
  connections.openRequest(socket);
  // The end of the connection is read several turns of the loop before the connection is closed.
  socket.once('end', handleEnd);
  socket.once('close', handleClose);
  response.once('close', handleClose);
}

/** A request that was read whole. */
interface Arrival {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  readonly bodyMemory: BodyMemory;
  readonly head: RequestHead;
}

function startExchange(
  context: ForwardServerContext,
  reader: CallerReader,
  { body, bodyMemory, head, request, response }: Arrival,
): void {
  const requestId = context.createRequestId();
  const { callerRequestId } = head;
  const contentDigest = createContentDigest(request.method ?? '', request.url ?? '', body);
  const fields = { requestId, callerRequestId, request, response, body };
  const exchange = createForwardExchange(fields, null, bodyMemory);
  context.exchanges.set(requestId, exchange);
  response.shouldKeepAlive &&= !context.isShuttingDown() || !reader.isLast(request);
  let isAdmitted = false;
  let isGone = false;
  const leave = (): void => {
    const isBeingSent = exchange.isEnded && !response.closed && !request.socket.closed;
    if (isGone || isBeingSent) {
      return;
    }
    isGone = true;
    if (isAdmitted && !exchange.isEnded) {
      const closedBy = countCut(context, request);
      context.post({ kind: EntryEventKind.CallerDisconnected, requestId, closedBy });
    } else if (!exchange.isAborted && !exchange.isSent) {
      reportCut(context, request, callerRequestId, isAdmitted);
    }
    if (!isAdmitted) {
      context.exchanges.delete(requestId);
    }
    exchange.isEnded = true;
  };
  watchConnection(context, exchange, leave);
  const arrive = (delayMs: number): void => {
    if (!exchange.isEnded) {
      isAdmitted = true;
      const kind = EntryEventKind.RequestArrived;
      context.post({ kind, request: { ...head, requestId, contentDigest }, delayMs });
    }
  };
  const { getDelayMs, isBehind } = context.loopDelay;
  const delayMs = getDelayMs();
  runAfterUnreadData(isBehind(), () => arrive(delayMs));
}

function handleRequest(
  context: ForwardServerContext,
  reader: CallerReader,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const limits = context.getLimits();
  context.connections.addRequest(request.socket);
  reader.addRequest(request, response);
  response.once('close', () => context.connections.removeRequest(request.socket));
  if (limits === null) {
    sendRefusal(context, response, createDiagnostic(Diagnostics.NotConfigured));
    return;
  }
  keepAnnouncedIdleTime(request, response, limits);
  if (getHeaderBytes(request.rawHeaders) > limits.maxHeaderBytes) {
    const diagnostic = createDiagnostic(Diagnostics.HeadersTooLarge, limits.maxHeaderBytes);
    sendRefusal(context, response, diagnostic, HTTP_HEADERS_TOO_LARGE);
    return;
  }
  context.wire.decodeRequestHead(request.url ?? '/', request.rawHeaders).caseOf({
    Left: (diagnostic) => sendRefusal(context, response, diagnostic),
    Right: (head) => {
      const maxHeldBytes = context.vmMemory.getMaxBytes(MemoryPurpose.RequestBodies);
      const held = context.vmMemory.hold(MemoryPurpose.RequestBodies);
      const bodyMemory = createBodyMemory(held);
      response.once('close', bodyMemory.endResponse);
      const body = readBody(request, limits.maxBodyBytes, held, maxHeldBytes, (paced, sizeBytes) =>
        leaveTurnOfBody(context.turnPacer, paced, sizeBytes),
      );
      void body.then((result) => {
        result.caseOf({
          Left: (diagnostic) => sendRefusal(context, response, diagnostic),
          Right: (bytes) => {
            if (response.destroyed) {
              reportCut(context, request, head.callerRequestId, false);
            } else if (!held.add(getParsedHeadBytes(request))) {
              sendRefusal(
                context,
                response,
                createDiagnostic(Diagnostics.MemoryExhausted, maxHeldBytes),
              );
            } else {
              const arrival = { request, response, body: bytes, bodyMemory, head };
              startExchange(context, reader, arrival);
            }
          },
        });
      });
    },
  });
}

/**
 * Replaces how a server closes idle connections, which it does also when it is closed: Node.js counts a connection as idle
 * while the end of an answer is still to be written to it.
 */
function keepUnsentAnswers(
  { connections }: ForwardServerContext,
  reader: CallerReader,
  server: Server,
): void {
  const sockets = new Set<Socket>();
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  Object.assign(server, {
    closeIdleConnections: () => {
      sockets.forEach((socket) => {
        if (connections.isIdle(socket) && !reader.hasUnparsedData(socket)) {
          socket.destroy();
        }
      });
    },
  });
}

/** Starts to read the connections of the server, and rejects those whose heads take too much memory. */
function startReader(context: ForwardServerContext, server: Server): CallerReader {
  const { getLimits, vmMemory } = context;
  const reader = createCallerReader(
    {
      vmMemory,
      getMaxHeadBytes: () =>
        (getLimits()?.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES) + MAX_REQUEST_LINE_BYTES,
      onOverlongHead: (socket) => {
        const status = getLimits() === null ? HTTP_UNAVAILABLE : HTTP_HEADERS_TOO_LARGE;
        rejectConnection(reader, socket, status);
      },
      onExhausted: (socket) => rejectConnection(reader, socket, HTTP_UNAVAILABLE),
    },
    server,
  );
  return reader;
}

/** Creates the server for callers, without starting to listen. */
export function createForwardServer(context: ForwardServerContext): Server {
  const { connections } = context;
  const server = http.createServer({
    maxHeaderSize: MIN_PARSER_HEADER_BYTES,
    requestTimeout: 0,
    connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    noDelay: true,
    keepAlive: true,
  });
  readAllHeaderLines(server);
  const reader = startReader(context, server);
  const recordRequest = closeIdleForNew(
    server,
    context.maxConnections,
    (socket) => connections.isIdle(socket) && !reader.hasUnparsedData(socket),
    (socket) => connections.recordCause(socket, CloseCause.IdleTimer),
  );
  server.on('request', recordRequest);
  server.on('request', (request, response) => handleRequest(context, reader, request, response));
  keepUnsentAnswers(context, reader, server);
  server.on('timeout', (socket) => closeIfIdle(connections, socket));
  server.on('clientError', (error, socket) =>
    handleConnectionError(connections, reader, socket as Socket, error),
  );
  return server;
}

/** Sets the header timeout, the idle timeout and the parser's limit of the server for callers. */
export function applyCallerTimeouts(server: Server, limits: CallerLimits): void {
  const parsedBytes = limits.maxHeaderBytes + MAX_REQUEST_LINE_BYTES;
  // Not part of the types; it is read for each new connection.
  Object.assign(server, { maxHeaderSize: Math.max(MIN_PARSER_HEADER_BYTES, parsedBytes) });
  server.headersTimeout = limits.headerTimeoutMs;
  server.keepAliveTimeout = getAnnouncedIdleMs(limits);
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
