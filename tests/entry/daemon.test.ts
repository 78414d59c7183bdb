/**
 * Tests two entry VMs end to end over real sockets, with stand-ins for the platform's store and runners.
 */
import http from 'node:http';
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { decodeSettings } from '../../platform/settings.js';
import { createPlatformStore } from '../../platform/store.js';
import { PLATFORM_WIRE } from '../../platform/wire.js';
import { type EntryDaemon, startEntryDaemon } from '../../src/transport/entry/entryDaemon.js';
import type { EntryLog } from '../../src/transport/entry/entryLog.js';
import type { EntrySettings } from '../../src/transport/entry/settings.js';
import {
  type PlatformRunner,
  RunnerFault,
  startPlatformRunner,
} from '../stand-ins/platformRunner.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import { findFreePort } from '../stand-ins/processes.js';

const SILENT_LOG: EntryLog = { write: () => {}, countDropped: () => 0, flush: () => {} };
const WAIT_MS = 10_000;
const POLL_MS = 20;

interface HttpAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  readonly isComplete: boolean;
}

interface Vm {
  readonly settings: EntrySettings;
  readonly daemon: EntryDaemon;
}

let store: PlatformStore;
let runners: Record<'c1' | 'c2' | 'e1' | 'e2', PlatformRunner>;
let vms: Vm[];
let requestCount = 0;

const ROUTE = { host: 'h', timeout_ms: 3_000, goal_ms: 500, attempts: 2, public: false };

function createConfiguration(version: number, keys: string[]) {
  return {
    version,
    routes: [
      { ...ROUTE, name: 'look', prefix: '/look/', route_kind: 'idempotent', service: 'counter' },
      {
        ...ROUTE,
        name: 'book',
        prefix: '/book/',
        route_kind: 'non_idempotent',
        service: 'counter',
      },
      {
        ...ROUTE,
        name: 'draft',
        prefix: '/draft/',
        route_kind: 'streaming',
        service: 'llm',
        resumable: true,
      },
      { ...ROUTE, name: 'letter', prefix: '/letter/', route_kind: 'streaming', service: 'llm' },
    ],
    services: [
      { name: 'counter', max_conns: 100 },
      {
        name: 'llm',
        max_conns: 100,
        engine: {
          slots: 8,
          kv_capacity: 100_000,
          weights_mb: 100,
          adapter_slots: 4,
          loads_per_s: 2,
          models: ['m0', 'm1', 'm2'].map((name) => ({
            name,
            weights_mb: 30,
            load_s: 1,
            adapters: 3,
            adapter_mb: 1,
          })),
        },
      },
    ],
    tenants: [
      { name: 'mill', api_keys: keys, rate_per_s: 1_000_000, burst: 1_000_000, plain_tokens: 10 },
    ],
  };
}

function sendRequest(
  vm: number,
  path: string,
  headers: Record<string, string> = {},
  body = '',
): Promise<HttpAnswer> {
  requestCount += 1;
  const [host = '', port = ''] = vms[vm]!.settings.listenAddress.split(':');
  return new Promise((resolve, reject) => {
    const request = http.request(
      {
        host,
        port,
        path,
        method: body === '' ? 'GET' : 'POST',
        agent: false,
        headers: {
          host: 'h',
          'x-attempt-id': `id-${requestCount}`,
          'x-api-key': 'key-1',
          'x-deadline-ms': '2500',
          'x-token-count': '100,10',
          ...headers,
        },
      },
      (response) => {
        let text = '';
        response.on('data', (chunk: Buffer) => {
          text += chunk.toString();
        });
        response.on('error', () => {});
        response.on('close', () => {
          const { headers: responseHeaders, statusCode: status = 0 } = response;
          resolve({ status, headers: responseHeaders, body: text, isComplete: response.complete });
        });
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}

async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadlineMs = performance.now() + WAIT_MS;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) {
      throw new RangeError('the condition did not become true in time');
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}

async function isReady({ settings }: Vm): Promise<boolean> {
  const response = await fetch(`http://${settings.readyAddress}/v1/readyz`);
  return response.status === 200;
}

async function startVm(name: string): Promise<Vm> {
  const ports = await Promise.all([findFreePort(), findFreePort(), findFreePort(), findFreePort()]);
  const text = JSON.stringify({
    node_name: name,
    ip: '127.0.0.1',
    zone: 'fd-a',
    port_range: [ports[2], ports[2]],
    listen: { frontend_addr: `127.0.0.1:${ports[0]}`, ready_addr: `127.0.0.1:${ports[1]}` },
    platform: { address: store.address },
    bounds: { grace_s: 8, retry_slack: 500, fencing: true },
  });
  const settings = decodeSettings(text).unsafeCoerce();
  const daemon = await startEntryDaemon({
    settings,
    metricsPort: ports[3],
    store: createPlatformStore(store.address, 1_000),
    wire: PLATFORM_WIRE,
    log: SILENT_LOG,
  });
  return { settings, daemon };
}

function registerRunners(): void {
  Object.values(runners).forEach((runner) => store.put(`servers/${runner.id}`, runner.describe()));
}

function setFault(fault: RunnerFault): void {
  Object.values(runners).forEach((runner) => {
    runner.fault = fault;
    runner.seen.splice(0);
  });
}

function countRunnerRequests(): number {
  return Object.values(runners).reduce((sum, { seen }) => sum + seen.length, 0);
}

beforeAll(async () => {
  store = await startPlatformStore();
  const [c1, c2, e1, e2] = await Promise.all([
    startPlatformRunner({ id: 'c1', service: 'counter' }),
    startPlatformRunner({ id: 'c2', service: 'counter' }),
    startPlatformRunner({ id: 'e1', service: 'llm', models: ['m0'] }),
    startPlatformRunner({ id: 'e2', service: 'llm', models: ['m0', 'm1'] }),
  ]);
  runners = { c1, c2, e1, e2 };
  registerRunners();
  store.put('op/config', createConfiguration(3, ['key-1', 'key-2']));
  vms = [await startVm('vm-1'), await startVm('vm-2')];
  await waitUntil(async () => (await Promise.all(vms.map(isReady))).every(Boolean));
  await waitUntil(() => store.get('gentiandeck/controllers/fleet') !== null);
});

beforeEach(() => setFault(RunnerFault.None));

afterAll(async () => {
  vms.forEach(({ daemon }) => daemon.stop());
  await Promise.all(vms.map(({ daemon }) => daemon.ended));
  await Promise.all([store.close(), ...Object.values(runners).map((runner) => runner.close())]);
});

const PATHS = [
  { name: 'idempotent', path: '/look/a/b?c=d%20e', body: '', answer: 'whole' },
  { name: 'at most once', path: '/book/x', body: '{"rolls":3}', answer: 'whole' },
  { name: 'stream', path: '/draft/x', body: 'prompt', answer: 'token-5' },
];

describe('a request', () => {
  it.each(PATHS)(
    'is forwarded with its path, body and custom headers, and its answer is returned: $name',
    async ({ answer, body, path }) => {
      const model: Record<string, string> = path.startsWith('/draft') ? { 'x-model': 'm0' } : {};
      const received = await sendRequest(
        0,
        path,
        { ...model, 'x-tenant': 'forged', 'x-custom': 'kept' },
        body,
      );
      expect([received.status, received.isComplete, received.headers['x-server-seal']]).toEqual([
        200,
        true,
        'seal-1',
      ]);
      expect(received.body).toContain(answer);
      const [seen] = Object.values(runners).flatMap((runner) => runner.seen);
      expect(seen).toMatchObject({ url: path, body });
      expect(seen!.headers).toMatchObject({ 'x-tenant': 'mill', 'x-custom': 'kept' });
      expect(seen!.headers['x-api-key']).toBeUndefined();
      expect(Number(seen!.headers['x-deadline-ms'])).toBeLessThanOrEqual(2_500);
    },
  );

  it('with a withdrawn key is rejected once the new configuration is in force', async () => {
    store.put('op/config', createConfiguration(4, ['key-1']));
    await waitUntil(
      async () => (await sendRequest(1, '/look/x', { 'x-api-key': 'key-2' })).status === 401,
    );
    expect((await sendRequest(1, '/look/x')).status).toBe(200);
  });

  it('for an unknown path is answered with status 404', async () => {
    expect((await sendRequest(0, '/nowhere')).status).toBe(404);
  });
});

const FAULTS = [
  {
    name: 'at most once, answer lost',
    path: '/book/x',
    fault: RunnerFault.LoseAnswer,
    statuses: [502],
    runs: 1,
  },
  {
    name: 'at most once, refused without being run',
    path: '/book/x',
    fault: RunnerFault.NotExecuted,
    statuses: [503],
    runs: 0,
  },
  {
    name: 'at most once, answer to another request',
    path: '/book/x',
    fault: RunnerFault.WrongAttemptId,
    statuses: [502],
    runs: 1,
  },
  {
    name: 'at most once, server error',
    path: '/book/x',
    fault: RunnerFault.ServerError,
    statuses: [500],
    runs: 1,
  },
  {
    name: 'idempotent, answer lost',
    path: '/look/x',
    fault: RunnerFault.LoseAnswer,
    statuses: [502],
    runs: 2,
  },
  {
    name: 'idempotent, answer without a length',
    path: '/look/x',
    fault: RunnerFault.Unframed,
    statuses: [200],
    runs: 1,
  },
  {
    name: 'stream that may not be resumed, answer lost',
    path: '/letter/x',
    fault: RunnerFault.LoseAnswer,
    statuses: [502],
    runs: 1,
  },
];

describe('a fault of the runners', () => {
  it.each(FAULTS)(
    'results in the expected status and number of runs: $name',
    async ({ fault, path, runs, statuses }) => {
      setFault(fault);
      const received = await sendRequest(0, path, { 'x-model': 'm0' }, 'body');
      expect(statuses).toContain(received.status);
      expect(countRunnerRequests()).toBe(runs);
    },
  );

  it('in the middle of a resumable stream lets another runner send the remaining events, each once', async () => {
    runners.e1.fault = RunnerFault.TruncateStream;
    const bodies = new Set<string>();
    // At first, requests avoid the servers that failed in the previous cases.
    await waitUntil(async () => {
      const answers = await Promise.all(
        Array.from({ length: 12 }, () => sendRequest(0, '/draft/x', { 'x-model': 'm0' }, 'p')),
      );
      answers.forEach(({ body, isComplete }) => bodies.add(`${isComplete} ${body}`));
      return runners.e1.seen.length > 0;
    });
    const events = [1, 2, 3, 4, 5].map((n) => `id: ${n}\ndata: token-${n}\n\n`).join('');
    expect(bodies).toEqual(new Set([`true ${events}`]));
  });

  it('in the middle of a stream that may not be resumed ends the answer incomplete', async () => {
    setFault(RunnerFault.TruncateStream);
    const received = await sendRequest(0, '/letter/x', { 'x-model': 'm0' }, 'p');
    expect([received.status, received.isComplete]).toEqual([200, false]);
  });
});

describe('placement', () => {
  it('loads a requested adapter, and a requested model that no engine holds', async () => {
    expect((await sendRequest(0, '/draft/x', { 'x-model': 'm1/a2' }, 'p')).status).toBe(200);
    const answer = sendRequest(1, '/draft/x', { 'x-model': 'm2' }, 'p');
    await waitUntil(() =>
      [runners.e1, runners.e2].some(({ orders }) => JSON.stringify(orders).includes('"m2"')),
    );
    registerRunners();
    expect((await answer).status).toBe(200);
  });
});

describe('an outage of the store', () => {
  it('does not affect requests, and changes made during it are read after it', async () => {
    store.isDown = true;
    store.put('op/config', createConfiguration(9, ['key-1', 'key-9']));
    store.compact();
    await new Promise((resolve) => {
      setTimeout(resolve, 500);
    });
    expect((await sendRequest(0, '/book/x', {}, 'b')).status).toBe(200);
    store.isDown = false;
    await waitUntil(
      async () => (await sendRequest(0, '/look/x', { 'x-api-key': 'key-9' })).status === 200,
    );
  });

  it('does not remove servers whose entries expired before they have had time to register again', async () => {
    store.isDown = true;
    await new Promise((resolve) => {
      setTimeout(resolve, 2_500);
    });
    Object.values(runners).forEach(({ id }) => store.remove(`servers/${id}`));
    store.isDown = false;
    await new Promise((resolve) => {
      setTimeout(resolve, 800);
    });
    expect((await sendRequest(0, '/book/x', {}, 'b')).status).toBe(200);
    registerRunners();
  });
});
