/**
 * The callers of a soak. They keep using their open connections until the process at the other end is gone, and record what
 * they got for each request.
 */
import http from 'node:http';
import { nextRandomInt, type RandomState } from '../../src/state/random.js';
import type { SoakFleet, SoakVm } from './fleet.js';

const DEADLINE_MS = 2_500;
const PAUSE_MS = 15;

/** The kinds of requests, and the answer that each gets if it succeeds. */
const EVENTS = [1, 2, 3, 4, 5].map((n) => `id: ${n}\ndata: token-${n}\n\n`).join('');
export const REQUEST_KINDS = {
  lookup: { path: '/look/x', model: null, mayRunTwice: true, answer: 'whole' },
  booking: { path: '/book/x', model: null, mayRunTwice: false, answer: 'whole' },
  draft: { path: '/draft/x', model: 'm0', mayRunTwice: true, answer: EVENTS },
  letter: { path: '/letter/x', model: 'm0', mayRunTwice: false, answer: EVENTS },
} as const;
export type RequestKind = keyof typeof REQUEST_KINDS;

/** What a caller got for one request. */
export interface Outcome {
  readonly id: string;
  readonly kind: RequestKind;
  readonly vm: SoakVm;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 if the connection ended without an answer. */
  readonly status: number;
  readonly answeredId: string;
  readonly body: string;
  readonly isComplete: boolean;
}

/** Sends one request and waits for the end of its answer. */
export function callVm(
  vm: SoakVm,
  kind: RequestKind,
  id: string,
  key: string,
  agent: http.Agent,
): Promise<Outcome> {
  const { model, path } = REQUEST_KINDS[kind];
  const [host = '', port = ''] = vm.address.split(':');
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    const finish = (status: number, answeredId = '', body = '', isComplete = false): void =>
      resolve({
        ...{ id, kind, vm, sentAtMs, status, answeredId, body, isComplete },
        endedAtMs: performance.now(),
      });
    const headers = {
      host: 'h',
      'x-attempt-id': id,
      'x-api-key': key,
      'x-deadline-ms': String(DEADLINE_MS),
      'x-token-count': '10,10',
      ...(model === null ? {} : { 'x-model': model }),
    };
    const request = http.request({ host, port, path, method: 'POST', agent, headers });
    request.on('response', (response) => {
      let body = '';
      response.on('data', (chunk: Buffer) => {
        body += chunk.toString();
      });
      response.on('error', () => {});
      response.on('close', () => {
        const { complete, statusCode = 0 } = response;
        finish(statusCode, String(response.headers['x-attempt-id']), body, complete);
      });
    });
    request.on('error', () => finish(0));
    request.end('body');
  });
}

/** Runs some callers until `isOver`, and returns what they got. */
export async function runCallers(
  fleet: SoakFleet,
  random: RandomState,
  count: number,
  isOver: () => boolean,
): Promise<Outcome[]> {
  const outcomes: Outcome[] = [];
  const kinds = Object.keys(REQUEST_KINDS) as RequestKind[];
  let sent = 0;
  const run = async (): Promise<void> => {
    const agent = new http.Agent({ keepAlive: true });
    while (!isOver()) {
      sent += 1;
      const vm = fleet.vms[nextRandomInt(random, fleet.vms.length)]!;
      const kind = kinds[nextRandomInt(random, kinds.length)]!;
      outcomes.push(await callVm(vm, kind, `request-${sent}`, 'key-1', agent));
      await new Promise((resolve) => {
        setTimeout(resolve, PAUSE_MS);
      });
    }
    agent.destroy();
  };
  await Promise.all(Array.from({ length: count }, run));
  return outcomes;
}
