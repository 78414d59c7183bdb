/* eslint-disable import-x/extensions, no-await-in-loop, no-promise-executor-return, no-restricted-syntax, no-void -- scripts of a review run as they are, without a build */
/**
 * A small deployment with a plain service, ordinary callers, and a crowd of callers that nobody controls at one VM.
 */
import { readFile } from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import {
  createVm,
  importStandIn,
  isReady,
  isTroubled,
  runCase,
  startVm,
  wait,
  waitFor,
} from './harness.mjs';

export const MAX_HEADER_BYTES = 16384;
const MEMORY_MB = 350;
const KEY = 'key-1';
const HEARTBEAT_MS = 1200;
const ORDINARY_INTERVAL_MS = 250;
const WATCH_MS = 15000;
const ROUTE = {
  host: 'h',
  timeout_ms: 4000,
  goal_ms: 300,
  attempts: 2,
  priority: 2,
  public: false,
};

const CONFIGURATION = {
  version: 1,
  routes: [
    { ...ROUTE, name: 'look', prefix: '/look/', route_kind: 'idempotent', service: 'app' },
    { ...ROUTE, name: 'book', prefix: '/book/', route_kind: 'non_idempotent', service: 'app' },
  ],
  services: [{ name: 'app', max_conns: 100, health_path: '/healthz' }],
  tenants: [{ name: 'mill', api_keys: [KEY], priority: 1 }],
  limits: {
    max_header_bytes: MAX_HEADER_BYTES,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
};

async function startServer(store, index) {
  const id = `app-${index}`;
  const server = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      const body = request.url === '/healthz' ? '' : `answer to ${request.headers['x-attempt-id']}`;
      response.writeHead(200, {
        ...{ 'x-instance-id': id, 'x-server-load': '1,0,6', 'x-server-seal': `seal-${id}` },
        'x-attempt-id': request.headers['x-attempt-id'] ?? '',
        'content-length': Buffer.byteLength(body),
      });
      response.end(body);
    });
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${server.address().port}`;
  const born = Date.now();
  let seq = 0;
  const beat = () => {
    seq += 1;
    store.put(`servers/${id}`, {
      ...{
        service: 'app',
        address,
        zone: `nbo-${'abc'[index % 3]}`,
        version: 'v1',
        slots: 6,
        state: 'ready',
      },
      ...{ cold_left_ms: 0, born, seq },
    });
  };
  beat();
  setInterval(beat, HEARTBEAT_MS);
}

/** Sends one ordinary request on a connection of its own. Resolves to the status, or to the error. */
function callOrdinarily({ address }, id) {
  const [host, port] = address.split(':');
  const body = 'x'.repeat(600);
  const headers = {
    host: 'h',
    'x-attempt-id': id,
    'x-api-key': KEY,
    'x-deadline-ms': '4000',
    'content-length': 600,
  };
  return new Promise((resolve) => {
    const options = {
      host,
      port,
      path: '/book/1',
      method: 'POST',
      headers,
      agent: false,
      timeout: 4500,
    };
    const request = http.request(options, (response) => {
      response.resume();
      response.on('close', () => resolve(response.complete ? response.statusCode : 'incomplete'));
    });
    request.on('timeout', () => request.destroy(new Error('timeout')));
    request.on('error', (error) => resolve(error.code ?? error.message));
    request.end(body);
  });
}

async function readPeakMb({ child }) {
  try {
    return Math.round(
      /VmHWM:\s+(\d+)/.exec(await readFile(`/proc/${child.pid}/status`, 'utf8'))[1] / 1024,
    );
  } catch {
    return null;
  }
}

/**
 * Plays a crowd.
 *
 * @param createParts Returns what one caller sends: the head, then a part of a chunked body that it writes so many times, then the end.
 */
export function playCrowd(url, { callers, createParts, createProperParts }) {
  return runCase(url, async (record) => {
    const { startPlatformStore } = await importStandIn('platformStore');
    const store = await startPlatformStore();
    store.put('op/config', CONFIGURATION);
    await Promise.all([0, 1, 2].map((index) => startServer(store, index)));
    const vms = await Promise.all(
      ['nbo-a', 'nbo-b', 'nbo-c'].map((zone, i) =>
        createVm(`edge-${i + 1}`, store.address, { zone }),
      ),
    );
    vms.forEach(startVm);
    for (const vm of vms) {
      await waitFor(`${vm.name} is ready`, () => isReady(vm));
    }
    const [target] = vms;
    const ordinary = new Map();
    let sequence = 0;
    const callAll = () =>
      vms.forEach((vm) => {
        sequence += 1;
        void callOrdinarily(vm, `ordinary-${sequence}`).then((result) => {
          const key = `${vm.name} ${result}`;
          ordinary.set(key, (ordinary.get(key) ?? 0) + 1);
        });
      });
    const calling = setInterval(callAll, ORDINARY_INTERVAL_MS);
    await wait(2000);
    record.add(
      `ordinary calls before the crowd: ${JSON.stringify([...ordinary])}; peak memory ${await readPeakMb(target)} MB`,
    );

    const answers = new Map();
    const counts = { connected: 0, closed: 0, sentBytes: 0 };
    const [host, port] = target.address.split(':');
    const create = isTroubled ? createParts : createProperParts;
    const sockets = Array.from({ length: callers }, (_, index) => {
      const { end, head, repeated, times } = create(index);
      const socket = net.connect(Number(port), host);
      let left = times;
      const send = () => {
        while (left > 0 && !socket.destroyed) {
          left -= 1;
          counts.sentBytes += repeated.length;
          if (!socket.write(repeated)) {
            return;
          }
        }
        if (left === 0) {
          left = -1;
          socket.write(end);
        }
      };
      socket.on('error', () => {});
      socket.once('connect', () => {
        counts.connected += 1;
        counts.sentBytes += head.length;
        socket.on('drain', send);
        socket.write(head);
        send();
      });
      socket.on('data', (data) => {
        const line = data.toString('latin1').split('\r\n', 1)[0];
        answers.set(line, (answers.get(line) ?? 0) + 1);
      });
      socket.once('close', () => {
        counts.closed += 1;
      });
      return socket;
    });
    const sample = create(0);
    const bodyBytes = sample.repeated.length * sample.times + sample.end.length;
    record.add(
      `${callers} callers connect to ${target.name}: heads of ${sample.head.length} bytes, then ${bodyBytes} bytes each`,
    );
    const startedAtMs = performance.now();
    let peakMb = await readPeakMb(target);
    while (target.isRunning && performance.now() - startedAtMs < WATCH_MS) {
      await wait(100);
      peakMb = (await readPeakMb(target)) ?? peakMb;
    }
    const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(1);
    record.add(
      `connected ${counts.connected}, closed ${counts.closed}, sent ${counts.sentBytes} bytes; answers to the crowd ${JSON.stringify([...answers])}`,
    );
    record.add(
      `${target.name}: ${target.isRunning ? 'runs' : `ended ${JSON.stringify(target.end)}`} after ${seconds} s, peak memory ${peakMb} MB of ${MEMORY_MB}`,
    );
    target.output
      .split('\n')
      .filter((line) => /FATAL ERROR|nothing has requested/.test(line))
      .forEach((line) => record.add(`${target.name} wrote: ${line}`));
    clearInterval(calling);
    await wait(4600);
    record.add(`ordinary calls in all: ${JSON.stringify([...ordinary].sort())}`);
    sockets.forEach((socket) => socket.destroy());
    const last = target.isRunning ? await callOrdinarily(target, 'last') : 'no process';
    record.add(`an ordinary call to ${target.name} after the crowd: ${last}`);
    const isBroken = !target.isRunning || peakMb > MEMORY_MB || last !== 200;
    vms.filter(({ isRunning }) => isRunning).forEach(({ child }) => child.kill('SIGKILL'));
    await Promise.all(vms.map(({ exited }) => exited));
    return isBroken;
  });
}

export function createHead(index, lines = []) {
  const own = [
    ...['POST /look/x HTTP/1.1', 'Host: h', `X-Attempt-Id: crowd-${index}`, `X-Api-Key: ${KEY}`],
    ...['X-Deadline-Ms: 4000', 'Transfer-Encoding: chunked'],
  ];
  return `${[...own, ...lines].join('\r\n')}\r\n\r\n`;
}
