/**
 * Tests that no caller takes an answer for complete whose VM was killed before it had sent all of it. The kernel ends the connections of a
 * killed process in order, so that only the framing of an answer shows that it is incomplete.
 */
import http, { type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type EntryProcess, startEntryProcess } from '../stand-ins/entryProcess.js';
import { createConfiguration } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import { endProcess, waitFor } from '../stand-ins/processes.js';
import { looksComplete, readStream } from '../stand-ins/streamCaller.js';

const CALLERS = 4;
const DEADLINE_MS = 20_000;
const HEARTBEAT_MS = 500;
const HEALTH_PATH = '/health';

/** What the servers send of an answer before they wait. */
interface Answer {
  readonly answer: string;
  readonly path: string;
  readonly sent: string;
  readonly totalBytes: number;
}

const EVENTS = [1, 2, 3, 4, 5].map((id) => `id: ${id}\ndata: ${'x'.repeat(50)}\n\n`).join('');
const STREAM = { sent: EVENTS, totalBytes: 4 * EVENTS.length };
const Answers = {
  FixedStream: { ...STREAM, answer: 'a stream that may not be resumed', path: '/fixed/x' },
  ResumableStream: { ...STREAM, answer: 'a stream that may be resumed', path: '/resumed/x' },
  /** Longer than what a VM holds back until the end of an answer. */
  Large: {
    answer: 'a whole answer of 3 MB',
    path: '/large/x',
    sent: 'x'.repeat(2_250_000),
    totalBytes: 3_000_000,
  },
  /** Held back until its end. */
  Buffered: {
    answer: 'a whole answer of 1 MB that is being written',
    path: '/buffered/x',
    sent: 'x'.repeat(1_000_000),
    totalBytes: 1_000_000,
  },
  Short: { answer: 'a short answer', path: '/short/x', sent: 'short', totalBytes: 5 },
} as const satisfies Readonly<Record<string, Answer>>;

const HEAD_BY_FRAMING: Readonly<Record<string, (totalBytes: number) => http.OutgoingHttpHeaders>> =
  {
    length: (totalBytes) => ({ 'content-length': totalBytes }),
    chunks: () => ({ 'transfer-encoding': 'chunked' }),
    none: () => ({ connection: 'close' }),
  };

/** A server that sends the beginning of each answer, and ends it only if it has sent all or is told to. */
interface HoldingServer {
  readonly address: string;
  readonly endAnswers: () => void;
  /** Sets what is done with a question after the server's health in place of an answer. */
  readonly setQuestionHandler: (handle: () => void) => void;
  readonly close: () => void;
}

async function startHoldingServer(): Promise<HoldingServer> {
  const held = new Set<ServerResponse>();
  const questions: { handle: (() => void) | null } = { handle: null };
  const server = http.createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://h');
    const answer = Object.values(Answers).find(({ path }) => path === url.pathname);
    response.on('error', () => {});
    response.setHeader('x-server-seal', 's');
    if (answer === undefined) {
      (questions.handle ?? (() => response.end()))();
      return;
    }
    const { sent, totalBytes } = answer;
    const framing = url.searchParams.get('framing') ?? 'length';
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      'x-attempt-id': String(request.headers['x-attempt-id']),
      'content-type': sent === EVENTS ? 'text/event-stream' : 'text/plain',
      ...HEAD_BY_FRAMING[framing]!(totalBytes),
    });
    response.write(sent);
    if (sent.length === totalBytes) {
      response.end();
    } else {
      held.add(response);
    }
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    endAnswers: () => held.forEach((response) => response.end()),
    setQuestionHandler: (handle) => {
      questions.handle = handle;
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

let store: PlatformStore;
let entry: EntryProcess;
let server: HoldingServer;
let heartbeat: NodeJS.Timeout;

function kill(signal: NodeJS.Signals): void {
  entry.vm.child.kill(signal);
}

interface KillCase {
  readonly kill: string;
  readonly answer: Answer;
  readonly framing: string;
  readonly protocol?: string;
  /** The path of a request that is sent on the same connection before. */
  readonly pathBefore?: string;
  readonly isSlow?: boolean;
  /** What all callers have read of the body before the kill; all that the server has sent by default. */
  readonly readBytes?: number;
  readonly run?: () => void;
}

const FRAMINGS = Object.keys(HEAD_BY_FRAMING);
const HELD = [Answers.FixedStream, Answers.ResumableStream, Answers.Large];
const STREAMS = [Answers.FixedStream, Answers.ResumableStream];

/** Kills the VM while it waits for the answer to its question whether the server has outlived what it sent. */
function killAtQuestion(): void {
  server.setQuestionHandler(() => kill('SIGKILL'));
  server.endAnswers();
}

const CASES: readonly KillCase[] = [
  ...HELD.flatMap((answer) => FRAMINGS.map((framing) => ({ kill: 'SIGKILL', answer, framing }))),
  ...HELD.flatMap((answer) => [
    { kill: 'an abort', answer, framing: 'none', run: () => kill('SIGABRT') },
    { kill: 'SIGKILL at the end of the answer', answer, framing: 'none', run: killAtQuestion },
  ]),
  ...STREAMS.map((answer) => ({
    ...{ kill: 'SIGKILL, behind another answer', answer, framing: 'none' },
    pathBefore: Answers.Short.path,
  })),
  ...FRAMINGS.map((framing) => ({
    ...{ kill: 'SIGKILL, slow callers', answer: Answers.Buffered, framing },
    ...{ isSlow: true, readBytes: 1 },
  })),
  {
    ...{ kill: 'SIGKILL, HTTP/1.0', answer: Answers.Large, framing: 'length' },
    protocol: 'HTTP/1.0',
  },
];

// Guards against answers that end as if complete because the kernel closes the connections of a killed VM in order.
describe('an answer whose VM is killed', () => {
  beforeEach(async () => {
    store = await startPlatformStore();
    const configuration = createConfiguration(1, ['key-1']);
    const route = { host: 'h', service: 'held', timeout_ms: DEADLINE_MS, goal_ms: 1_000 };
    const stream = { ...route, route_kind: 'streaming', attempts: 2, public: true };
    const whole = { ...route, route_kind: 'idempotent', attempts: 2, public: true };
    store.put('op/config', {
      ...configuration,
      routes: [
        { ...stream, name: 'fixed', prefix: '/fixed/' },
        { ...stream, name: 'resumed', prefix: '/resumed/', resumable: true },
        ...['large', 'buffered', 'short'].map((name) => ({ ...whole, name, prefix: `/${name}/` })),
      ],
      services: [{ name: 'held', max_conns: 100, health_path: HEALTH_PATH }],
    });
    server = await startHoldingServer();
    const born = Date.now();
    let seq = 0;
    const register = (): void => {
      seq += 1;
      const state = { state: 'ready', cold_left_ms: 0, born, seq, zone: 'fd-a', version: 'v1' };
      store.put('servers/s1', { service: 'held', address: server.address, slots: 100, ...state });
    };
    register();
    heartbeat = setInterval(register, HEARTBEAT_MS);
    entry = await startEntryProcess(store.address, {}, { retry_slack: 500 });
  });

  afterEach(async () => {
    clearInterval(heartbeat);
    await endProcess(entry.vm);
    server.close();
    await store.close();
  });

  function formatHead(path: string, protocol: string, id: string, isLast: boolean): string[] {
    return [
      ...[`GET ${path} ${protocol}`, 'Host: h', `X-Attempt-Id: ${id}`],
      ...[`X-Deadline-Ms: ${DEADLINE_MS}`, ...(isLast ? ['Connection: close'] : [])],
    ];
  }

  it.each(CASES)(
    'does not look complete to any caller: $answer.answer, framing $framing, $kill',
    async (row) => {
      const { answer, framing, isSlow = false, pathBefore, protocol = 'HTTP/1.1' } = row;
      const { path, sent, totalBytes } = answer;
      const { readBytes = sent.length, run = () => kill('SIGKILL') } = row;
      await waitFor('a server is known', async () => {
        const probe = formatHead(Answers.Short.path, 'HTTP/1.1', 'probe', true);
        return (await readStream(entry.address, probe, false)).status === 200;
      });
      let readers = 0;
      const answers = Array.from({ length: CALLERS }, (_, i) => {
        const before =
          pathBefore === undefined
            ? []
            : [...formatHead(pathBefore, protocol, `before-${i}`, false), ''];
        const head = formatHead(`${path}?framing=${framing}`, protocol, `c${i}`, true);
        let isRead = false;
        const onBody = (body: string): void => {
          readers += !isRead && body.length >= readBytes ? 1 : 0;
          isRead ||= body.length >= readBytes;
        };
        const answersBefore = pathBefore === undefined ? 0 : 1;
        return readStream(entry.address, [...before, ...head], isSlow, onBody, answersBefore);
      });
      await waitFor('all callers have read the beginning', () => readers === CALLERS);
      run();
      const results = await Promise.all(answers);
      expect(results.map(({ isFramed, status }) => ({ isFramed, status }))).toEqual(
        results.map(() => ({ isFramed: true, status: 200 })),
      );
      const broken = results.filter(({ body }) => body.length < totalBytes);
      expect(broken.length).toBeGreaterThanOrEqual(sent.length < totalBytes ? CALLERS : 0);
      expect(broken.filter(looksComplete).map(({ body }) => body.length)).toEqual([]);
    },
  );
});
