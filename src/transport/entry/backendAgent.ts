/**
 * Connections to backend servers: kept while they are surely still open at the other side, and never more
 * than this VM's part of what a server accepts.
 */
import http, { type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

const KEEP_ALIVE_PATTERN = /timeout=(\d+)/i;
const MS_PER_SECOND = 1000;
/** Part of the time that a server keeps an idle connection for which this VM uses it. */
const IDLE_PART = 0.6;
/** Idle time of a connection whose server states none: shorter than a server's shortest, one second. */
const UNSTATED_IDLE_MS = 400;
/** A connection that takes longer is given up: links take some milliseconds, or have lost a packet. */
const CONNECT_TIMEOUT_MS = 700;
/** An address without connections for this time is forgotten. */
const FORGET_INTERVAL_MS = 30_000;

/** The connections to all backend servers. */
export interface BackendAgents {
  readonly getAgent: (address: string, maxConnections: number) => http.Agent;
  /** Calls back once the request has a connection that can be written to. */
  readonly onConnection: (request: ClientRequest, send: () => void) => void;
  /** Notes from an answer how long its connection may stay idle. */
  readonly noteIdleTime: (response: IncomingMessage) => void;
  readonly close: () => void;
}

/** Creates the pool, empty. */
export function createBackendAgents(): BackendAgents {
  const agents = new Map<string, http.Agent>();
  const idleTimesMs = new WeakMap<Socket, number>();

  const handleFree = (socket: Socket): void => {
    socket.setTimeout(idleTimesMs.get(socket) ?? UNSTATED_IDLE_MS);
    // Whatever comes on an idle connection belongs to no request.
    const destroy = (): void => {
      socket.destroy();
    };
    socket.once('data', destroy);
    socket.once('agentReuse', () => socket.off('data', destroy));
  };

  const onConnection = (request: ClientRequest, send: () => void): void => {
    request.on('socket', (socket) => {
      // Node.js hands a queued request a connection that it opens for it as one that has become free.
      socket.emit('agentReuse');
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
    agent.on('free', handleFree);
    return agent;
  };

  const forget = setInterval(() => {
    agents.forEach((agent, address) => {
      const isUsed =
        Object.keys(agent.sockets).length > 0 || Object.keys(agent.freeSockets).length > 0;
      if (!isUsed) {
        agent.destroy();
        agents.delete(address);
      }
    });
  }, FORGET_INTERVAL_MS);
  forget.unref();

  return {
    onConnection,
    getAgent: (address, maxConnections) => {
      const agent = agents.get(address) ?? createAgent();
      agent.maxSockets = maxConnections;
      agent.maxFreeSockets = maxConnections;
      agents.set(address, agent);
      return agent;
    },
    noteIdleTime: (response) => {
      const header = response.headers['keep-alive'];
      const seconds = KEEP_ALIVE_PATTERN.exec(typeof header === 'string' ? header : '')?.[1];
      if (seconds !== undefined) {
        idleTimesMs.set(response.socket, Number(seconds) * MS_PER_SECOND * IDLE_PART);
      }
    },
    close: () => {
      clearInterval(forget);
      agents.forEach((agent) => agent.destroy());
    },
  };
}
