/**
 * Pools the connections to backend servers. An idle connection is closed before the server would close it, so that no
 * request is sent on a connection that the server is closing. The number of connections to a server never exceeds this
 * VM's share of what the server accepts.
 */
import http, { type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { MAX_TIMER_MS } from '../../../protocol/fieldSchemas.js';

const KEEP_ALIVE_PATTERN = /timeout=(\d+)/i;
const MS_PER_SECOND = 1000;
/** Fraction of the server's keep-alive timeout for which this VM keeps an idle connection. */
const IDLE_TIME_FRACTION = 0.6;
/** Used if the server sends no keep-alive timeout. Below the shortest timeout of any server, which is one second. */
const DEFAULT_IDLE_TIMEOUT_MS = 400;
/** Connecting takes a few milliseconds unless a packet was lost, so a slower attempt is aborted. */
const CONNECT_TIMEOUT_MS = 700;
/** Interval at which the agents of addresses without connections are removed. */
const CLEANUP_INTERVAL_MS = 30_000;

/** The connection pools of all backend servers, by address. */
export interface BackendAgents {
  /** Returns the agent of an address, which opens at most this many connections. */
  readonly getAgent: (address: string, maxConnections: number) => http.Agent;
  /** Calls `send` once the request has an established connection. */
  readonly onConnection: (request: ClientRequest, send: () => void) => void;
  /** Records how long a connection may stay idle, from the `Keep-Alive` header of a response. */
  readonly recordIdleTimeout: (response: IncomingMessage) => void;
  /**
   * Records an answer, and returns whether it can only be that of the request that is open on its connection. An answer
   * without an id can on a new connection; one with the id of the request can unless the connection has already had an
   * answer with that id, from an earlier dispatch.
   */
  readonly recordAnswer: (response: IncomingMessage, id: string | null) => boolean;
  readonly close: () => void;
}

/** Starts to observe what a connection brings for a request, and returns the function that ends this. */
type ReadingObserver = (socket: Socket) => () => void;

/** Creates the pools, without any connection. */
export function createBackendAgents(
  observeReading: ReadingObserver = () => () => {},
): BackendAgents {
  const agents = new Map<string, http.Agent>();
  const idleTimeoutsMs = new WeakMap<Socket, number>();
  const answeredIds = new WeakMap<Socket, Set<string | null>>();

  const handleIdleSocket = (socket: Socket): void => {
    socket.setTimeout(idleTimeoutsMs.get(socket) ?? DEFAULT_IDLE_TIMEOUT_MS);
    // Data that arrives on an idle connection belongs to no request.
    const destroy = (): void => {
      socket.destroy();
    };
    socket.once('data', destroy);
    socket.once('agentReuse', () => socket.off('data', destroy));
  };

  const onConnection = (request: ClientRequest, send: () => void): void => {
    request.on('socket', (socket) => {
      // Node.js emits `free` also for a connection that it opened for a queued request. Emitting
      // `agentReuse` ends the handling of that connection as idle.
      socket.emit('agentReuse');
      request.once('close', observeReading(socket));
      if (!socket.connecting) {
        send();
        return;
      }
      socket.setNoDelay(true);
      const timer = setTimeout(() => request.destroy(), CONNECT_TIMEOUT_MS);
      socket.once('close', () => clearTimeout(timer));
      socket.once('connect', () => {
        clearTimeout(timer);
        send();
      });
    });
  };

  const createAgent = (): http.Agent => {
    const agent = new http.Agent({ keepAlive: true, scheduling: 'lifo' });
    agent.on('free', handleIdleSocket);
    return agent;
  };

  const cleanupTimer = setInterval(() => {
    agents.forEach((agent, address) => {
      const hasConnections =
        Object.keys(agent.sockets).length > 0 || Object.keys(agent.freeSockets).length > 0;
      if (!hasConnections) {
        agent.destroy();
        agents.delete(address);
      }
    });
  }, CLEANUP_INTERVAL_MS);
  cleanupTimer.unref();

  return {
    onConnection,
    getAgent: (address, maxConnections) => {
      const agent = agents.get(address) ?? createAgent();
      agent.maxSockets = maxConnections;
      agent.maxFreeSockets = maxConnections;
      agents.set(address, agent);
      return agent;
    },
    recordAnswer: ({ socket }, id) => {
      const ids = answeredIds.get(socket) ?? new Set();
      const isUnambiguous = id === null ? ids.size === 0 : !ids.has(id);
      answeredIds.set(socket, ids.add(id));
      return isUnambiguous;
    },
    recordIdleTimeout: (response) => {
      const header = response.headers['keep-alive'];
      const seconds = KEEP_ALIVE_PATTERN.exec(typeof header === 'string' ? header : '')?.[1];
      if (seconds !== undefined) {
        const idleTimeoutMs = Number(seconds) * MS_PER_SECOND * IDLE_TIME_FRACTION;
        idleTimeoutsMs.set(response.socket, Math.min(idleTimeoutMs, MAX_TIMER_MS));
      }
    },
    close: () => {
      clearInterval(cleanupTimer);
      agents.forEach((agent) => agent.destroy());
    },
  };
}
