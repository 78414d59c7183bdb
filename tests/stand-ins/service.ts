/**
 * Stand-in of a plain service that counts each run. Faults are set by `POST /faults`.
 */
import type { Server } from 'node:http';
import { REQUEST_ID_HEADER, WORKSPACE_HEADER } from '../../src/protocol/engine.js';
import { sendJson, serveTable, type StandInHandler } from './http.js';

/** What can be made to go wrong. Counts are used up one call at a time. */
export interface ServiceFaults {
  /** The call runs, then its connection is cut before an answer. */
  loseAnswers: number;
  /** The connection is cut before the call runs. */
  loseCalls: number;
  /** The answer is cut in its middle. */
  truncate: number;
  /** The answer carries another request's id. */
  wrongIds: number;
  /** The answer has neither length nor chunks. */
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

/** What the service has seen. */
export interface ServiceStats {
  readonly runs: number;
  /** Runs by the reference in the body. */
  readonly runsByReference: Readonly<Record<string, number>>;
  /** Values of headers that could hold a key. */
  readonly keysSeen: readonly string[];
  readonly workspaces: readonly string[];
}

/** Starts the stand-in. */
export function startService(port: number): Promise<Server> {
  let faults = { ...NO_FAULTS };
  let runs = 0;
  const runsByReference = new Map<string, number>();
  const keysSeen: string[] = [];
  const workspaces: string[] = [];

  const takeFault = (name: Exclude<keyof ServiceFaults, 'delayMs'>): boolean => {
    if (faults[name] <= 0) {
      return false;
    }
    faults[name] -= 1;
    return true;
  };

  const noteRun = (body: string): void => {
    runs += 1;
    const reference = /"reference"\s*:\s*"([^"]*)"/.exec(body)?.[1];
    if (reference !== undefined) {
      runsByReference.set(reference, (runsByReference.get(reference) ?? 0) + 1);
    }
  };

  const call: StandInHandler = (request, response, body) => {
    [request.headers.authorization, request.headers['x-api-key'], request.headers.cookie]
      .flat()
      .forEach((value) => {
        if (value !== undefined) {
          keysSeen.push(value);
        }
      });
    workspaces.push(String(request.headers[WORKSPACE_HEADER] ?? ''));
    if (takeFault('loseCalls')) {
      request.socket.destroy();
      return;
    }
    setTimeout(() => {
      noteRun(body);
      if (takeFault('loseAnswers')) {
        request.socket.destroy();
        return;
      }
      const text = JSON.stringify({ run: runs, echo: body });
      const id = takeFault('wrongIds') ? 'other' : String(request.headers[REQUEST_ID_HEADER]);
      if (takeFault('unframed')) {
        request.socket.end(`HTTP/1.1 200 OK\r\n${REQUEST_ID_HEADER}: ${id}\r\n\r\n${text}`);
        return;
      }
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
        [REQUEST_ID_HEADER]: id,
      });
      if (takeFault('truncate')) {
        response.write(text.slice(0, text.length / 2), () => request.socket.destroy());
        return;
      }
      response.end(text);
    }, faults.delayMs);
  };

  const table: Record<string, StandInHandler> = {
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
  return serveTable(port, table, call);
}
