/**
 * Simulates a plain service that counts how often each request is run. Faults are injected through
 * `POST /faults`.
 */
import type { Server } from 'node:http';
import { REQUEST_ID_HEADER, WORKSPACE_HEADER } from '../../src/protocol/engine.js';
import { sendJson, startHandlerServer, type StandInHandler } from './http.js';

/** Faults to inject. Each affected request uses up one of a fault's count. */
export interface ServiceFaults {
  /** Requests that are run, but whose connection is closed before the answer. */
  loseAnswers: number;
  /** Requests whose connection is closed before they are run. */
  loseCalls: number;
  /** Answers whose connection is closed after half of the body. */
  truncate: number;
  /** Answers that carry the id of another request. */
  wrongIds: number;
  /** Answers with neither a content length nor chunked encoding. */
  unframed: number;
  delayMs: number;
}

const NO_FAULTS: ServiceFaults = {
  loseAnswers: 0,
  loseCalls: 0,
  truncate: 0,
  wrongIds: 0,
  unframed: 0,
  delayMs: 0,
};

/** Counters of the service and what it received since its start. */
export interface ServiceStats {
  readonly runs: number;
  /** Number of runs by the `reference` in the request body. */
  readonly runsByReference: Readonly<Record<string, number>>;
  /** Values of headers that could hold an API key. */
  readonly keysSeen: readonly string[];
  readonly workspaces: readonly string[];
}

/** Starts a simulated plain service on a loopback port. */
export function startService(port: number): Promise<Server> {
  let faults = { ...NO_FAULTS };
  let runs = 0;
  const runsByReference = new Map<string, number>();
  const keysSeen: string[] = [];
  const workspaces: string[] = [];

  const consumeFault = (name: Exclude<keyof ServiceFaults, 'delayMs'>): boolean => {
    if (faults[name] <= 0) {
      return false;
    }
    faults[name] -= 1;
    return true;
  };

  const recordRun = (body: string): void => {
    runs += 1;
    const reference = /"reference"\s*:\s*"([^"]*)"/.exec(body)?.[1];
    if (reference !== undefined) {
      runsByReference.set(reference, (runsByReference.get(reference) ?? 0) + 1);
    }
  };

  const handleRequest: StandInHandler = (request, response, body) => {
    [request.headers.authorization, request.headers['x-api-key'], request.headers.cookie]
      .flat()
      .forEach((value) => {
        if (value !== undefined) {
          keysSeen.push(value);
        }
      });
    workspaces.push(String(request.headers[WORKSPACE_HEADER] ?? ''));
    if (consumeFault('loseCalls')) {
      request.socket.destroy();
      return;
    }
    setTimeout(() => {
      recordRun(body);
      if (consumeFault('loseAnswers')) {
        request.socket.destroy();
        return;
      }
      const text = JSON.stringify({ run: runs, echo: body });
      const id = consumeFault('wrongIds') ? 'other' : String(request.headers[REQUEST_ID_HEADER]);
      if (consumeFault('unframed')) {
        request.socket.end(`HTTP/1.1 200 OK\r\n${REQUEST_ID_HEADER}: ${id}\r\n\r\n${text}`);
        return;
      }
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
        [REQUEST_ID_HEADER]: id,
      });
      if (consumeFault('truncate')) {
        response.write(text.slice(0, text.length / 2), () => request.socket.destroy());
        return;
      }
      response.end(text);
    }, faults.delayMs);
  };

  const handlers: Record<string, StandInHandler> = {
    'POST /faults': (_request, response, body) => {
      faults = { ...faults, ...(JSON.parse(body) as Partial<ServiceFaults>) };
      sendJson(response, faults);
    },
    'GET /stats': (_request, response) => {
      sendJson(response, {
        runs,
        runsByReference: Object.fromEntries(runsByReference),
        keysSeen,
        workspaces,
      } satisfies ServiceStats);
    },
  };
  return startHandlerServer(port, handlers, handleRequest);
}
