/**
 * Runs the server for callers over real sockets with a stub in place of the event loop, and plays callers that write raw
 * bytes.
 */
import type { Server } from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import { PLATFORM_WIRE } from '../../platform/wire.js';
import { type EntryEvent, EntryEventKind } from '../../src/coordination/entry/events.js';
import type { CallerLimits } from '../../src/state/entry/deployment.js';
import {
  type CallerConnections,
  createCallerConnections,
} from '../../src/transport/entry/callers/callerConnections.js';
import type { ForwardExchange } from '../../src/transport/entry/callers/exchange.js';
import {
  applyCallerTimeouts,
  createForwardServer,
} from '../../src/transport/entry/callers/forwardServer.js';
import { createTurnPacer } from '../../src/transport/turnPacer.js';
import {
  createVmMemory,
  MEMORY_SHARES,
  MemoryPurpose,
  type VmMemory,
} from '../../src/transport/vmMemory.js';
import { createTestDeployment } from '../entry/fixtures.js';

/** A line of the log. */
export interface LogLine {
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A running server for callers. */
export interface FrontServer {
  readonly port: number;
  readonly server: Server;
  readonly lines: readonly LogLine[];
  readonly events: readonly EntryEvent[];
  readonly exchanges: ReadonlyMap<string, ForwardExchange>;
  readonly connections: CallerConnections;
  readonly vmMemory: VmMemory;
  /** Called with each admitted request. */
  onArrival: (exchange: ForwardExchange) => void;
  isShuttingDown: boolean;
  /** Applies the limits of a configuration. */
  readonly setLimits: (limits: Partial<CallerLimits>) => void;
  readonly close: () => void;
}

/** Creates a memory with these shares for the bodies of requests, and for unfinished requests. */
function createFrontMemory(bodyBytes: number, headBytes: number): VmMemory {
  const bodies = createVmMemory(bodyBytes / MEMORY_SHARES[MemoryPurpose.RequestBodies].fraction);
  const heads = createVmMemory(headBytes / MEMORY_SHARES[MemoryPurpose.RequestHeads].fraction);
  const choose = (purpose: MemoryPurpose): VmMemory =>
    purpose === MemoryPurpose.RequestHeads ? heads : bodies;
  return {
    getMaxBytes: (purpose) => choose(purpose).getMaxBytes(purpose),
    getUsedBytes: (purpose) => choose(purpose).getUsedBytes(purpose),
    getTotalUsedBytes: () => bodies.getTotalUsedBytes() + heads.getTotalUsedBytes(),
    hold: (purpose) => choose(purpose).hold(purpose),
  };
}

/** Starts a server for callers, with memory for the bodies of requests, and for unfinished requests. */
export async function startFrontServer(
  limits: Partial<CallerLimits> = {},
  bodyBytes = Number.POSITIVE_INFINITY,
  headBytes = Number.POSITIVE_INFINITY,
): Promise<FrontServer> {
  const lines: LogLine[] = [];
  const events: EntryEvent[] = [];
  const exchanges = new Map<string, ForwardExchange>();
  const connections = createCallerConnections();
  const current = { limits: { ...createTestDeployment().limits, ...limits } };
  const behaviour = { onArrival: (_exchange: ForwardExchange): void => {}, isShuttingDown: false };
  const vmMemory = createFrontMemory(bodyBytes, headBytes);
  let requestCount = 0;
  const server = createForwardServer({
    post: (event) => {
      events.push(event);
      if (event.kind === EntryEventKind.RequestArrived) {
        behaviour.onArrival(exchanges.get(event.request.requestId)!);
      }
    },
    writeLog: (_level, _prefix, text, fields = {}) => lines.push({ text, fields }),
    connections,
    wire: PLATFORM_WIRE,
    exchanges,
    createRequestId: () => {
      requestCount += 1;
      return `request-${requestCount}`;
    },
    getLimits: () => current.limits,
    isShuttingDown: () => behaviour.isShuttingDown,
    maxConnections: 100,
    vmMemory,
    turnPacer: createTurnPacer(),
    loopDelay: { getDelayMs: () => 0, isBehind: () => false },
  });
  applyCallerTimeouts(server, current.limits);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return Object.assign(behaviour, {
    port: (server.address() as AddressInfo).port,
    server,
    lines,
    events,
    exchanges,
    connections,
    vmMemory,
    setLimits: (changed: Partial<CallerLimits>) => {
      current.limits = { ...current.limits, ...changed };
      applyCallerTimeouts(server, current.limits);
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  });
}

/** A caller's connection, and what it has received. */
export interface RawCaller {
  readonly socket: Socket;
  readonly received: {
    text: string;
    isEnded: boolean;
    isReset: boolean;
    closedAtMs: number | null;
  };
}

/** Connects a caller that may keep its half of the connection open when the server closes the other. */
export async function connectCaller({ port }: FrontServer): Promise<RawCaller> {
  const socket = net.connect({ port, host: '127.0.0.1', noDelay: true });
  const received: RawCaller['received'] = {
    text: '',
    isEnded: false,
    isReset: false,
    closedAtMs: null,
  };
  socket.on('data', (chunk: Buffer) => {
    received.text += chunk.toString('latin1');
  });
  socket.on('end', () => {
    received.isEnded = true;
  });
  socket.on('error', () => {
    received.isReset = true;
  });
  socket.on('close', () => {
    received.closedAtMs = performance.now();
  });
  await new Promise<void>((resolve) => {
    socket.once('connect', resolve);
  });
  return { socket, received };
}

/** Returns a whole request. */
export function formatRequest(id: string, body = 'body'): string {
  return `POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

/** Blocks the thread, so that the timers of all connections fall due before any connection is read. */
export function blockThread(durationMs: number): void {
  const endsAtMs = performance.now() + durationMs;
  while (performance.now() < endsAtMs);
}
