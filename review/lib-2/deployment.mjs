/* eslint-disable import-x/extensions -- scripts of a review run as they are, without a build */
/**
 * A small deployment for the scripts: a store, engines that stream, plain servers, and VMs in three zones.
 */
import http from 'node:http';
import net from 'node:net';
import { createVm, importStandIn, isReady, startVm, waitFor } from './harness.mjs';

export const KEY = 'key-1';
const HEARTBEAT_MS = 1200;
const MODEL = {
  name: 'm0',
  weights_mb: 34300,
  load_s: 3,
  warm_s: 0.42,
  disk_s: 0.6,
  adapters: 0,
  adapter_mb: 0,
};
const SHARED = { host: 'h', attempts: 2, public: false };

export const CONFIGURATION = {
  version: 1,
  routes: [
    {
      ...{
        ...SHARED,
        name: 'draft',
        prefix: '/draft/',
        route_kind: 'streaming',
        service: 'llm',
        resumable: true,
      },
      ...{ timeout_ms: 15000, goal_ms: 800, priority: 1, sticky: true, gap_aim_ms: 250 },
    },
    {
      ...{
        ...SHARED,
        name: 'letter',
        prefix: '/letter/',
        route_kind: 'streaming',
        service: 'llm',
        resumable: false,
      },
      ...{ timeout_ms: 15000, goal_ms: 800, priority: 1, sticky: true, gap_aim_ms: 250 },
    },
    {
      ...{ ...SHARED, name: 'look', prefix: '/look/', route_kind: 'idempotent', service: 'app' },
      ...{ timeout_ms: 4000, goal_ms: 300, priority: 2 },
    },
  ],
  services: [
    { name: 'app', max_conns: 100, health_path: '/healthz' },
    {
      ...{ name: 'llm', max_conns: 360, health_path: '/healthz' },
      engine: {
        ...{
          slots: 64,
          kv_capacity: 140830,
          weights_mb: 200000,
          adapter_slots: 8,
          loads_per_s: 2.2,
        },
        models: [MODEL],
      },
    },
  ],
  tenants: [{ name: 'mill', api_keys: [KEY], priority: 1 }],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
};

/** Keeps the entry of a server in the store. */
export function register(store, id, entry) {
  let seq = 0;
  const beat = () => {
    seq += 1;
    store.put(`servers/${id}`, { version: 'v1', state: 'ready', cold_left_ms: 0, ...entry, seq });
  };
  beat();
  setInterval(beat, HEARTBEAT_MS);
}

export async function listen(server) {
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${server.address().port}`;
}

/** Starts a plain server that answers at once. `runs` gets the headers of each request that it has run. */
export async function startPlainServer(store, id, zone, runs) {
  const server = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      const attemptId = request.headers['x-attempt-id'];
      const common = { 'x-instance-id': id, 'x-server-load': '1,0,6', 'content-length': 2 };
      if (request.url === '/healthz') {
        response.writeHead(200, common);
      } else {
        runs.push({ id: attemptId, server: id, headers: request.headers });
        response.writeHead(200, {
          ...common,
          'x-attempt-id': attemptId,
          'x-server-seal': `seal-${id}`,
        });
      }
      response.end('ok');
    });
  });
  server.maxHeadersCount = 0;
  const address = await listen(server);
  register(store, id, { service: 'app', address, zone, slots: 6, born: Date.now() });
}

/**
 * Starts an engine with one model. It streams numbered events, the first with `Last-Event-Id` + 1, and ends the answer after the last one in
 * order. With `isUnframed` its streams have neither a length nor chunks and end with their connections.
 */
export async function startEngine(store, { eventCount, id, intervalMs, isUnframed, runs, zone }) {
  const models = [{ name: 'm0', version: 1, adapters: [] }];
  const server = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      const { headers, url } = request;
      if (url === '/healthz' || url === '/v1/report') {
        const report = {
          stage: 'mixed',
          models,
          busy: false,
          seq: 0,
          queued: 0,
          running: 1,
          kv_used: 0,
          kv_total: 140830,
          handles: 0,
        };
        const body = JSON.stringify(report);
        response.writeHead(200, {
          'x-instance-id': id,
          'content-type': 'application/json',
          'content-length': body.length,
        });
        response.end(body);
        return;
      }
      const isOther =
        headers['x-target-instance'] !== undefined && headers['x-target-instance'] !== id;
      if (isOther || headers['x-model'] !== 'm0') {
        response.writeHead(421, { 'x-instance-id': id, 'content-length': 0 });
        response.end();
        return;
      }
      const attemptId = headers['x-attempt-id'];
      const run = { id: attemptId, server: id, headers, sent: 0, hasEnded: false };
      runs.push(run);
      response.useChunkedEncodingByDefault = !isUnframed;
      response.shouldKeepAlive = !isUnframed;
      response.writeHead(200, {
        ...{
          'content-type': 'text/event-stream',
          'x-attempt-id': attemptId,
          'x-server-seal': `seal-${id}`,
        },
        ...{ 'x-server-load': '1,0,64', 'x-weight-versions': '1' },
      });
      let number = Number(headers['last-event-id'] ?? 0);
      const timer = setInterval(() => {
        number += 1;
        run.sent += 1;
        response.write(`id: ${number}\ndata: token ${number} of ${eventCount}\n\n`);
        if (number >= eventCount) {
          clearInterval(timer);
          run.hasEnded = true;
          response.end();
        }
      }, intervalMs);
      response.on('close', () => clearInterval(timer));
    });
  });
  server.maxHeadersCount = 0;
  const address = await listen(server);
  register(store, id, {
    service: 'llm',
    address,
    zone,
    slots: 64,
    born: Date.now(),
    stage: 'mixed',
    models,
  });
}

/** Starts the store, and VMs that are ready. */
export async function startDeployment(
  prepare,
  zones = ['nbo-a', 'nbo-b', 'nbo-c'],
  { routes } = CONFIGURATION,
) {
  const { startPlatformStore } = await importStandIn('platformStore');
  const store = await startPlatformStore();
  store.put('op/config', { ...CONFIGURATION, routes });
  await prepare(store);
  const vms = await Promise.all(
    zones.map((zone, i) => createVm(`edge-${i + 1}`, store.address, { zone })),
  );
  vms.forEach(startVm);
  await Promise.all(vms.map((vm) => waitFor(`${vm.name} is ready`, () => isReady(vm))));
  return { store, vms };
}

export async function stopVms(vms) {
  vms.filter(({ isRunning }) => isRunning).forEach(({ child }) => child.kill('SIGKILL'));
  await Promise.all(vms.map(({ exited }) => exited));
}

/** Sends a request on a connection of its own. Resolves once the connection has closed, to what was received and how it has ended. */
export function sendRaw({ address }, head, body = '') {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const chunks = [];
    let end = 'in order';
    const socket = net.connect(Number(port), host, () =>
      socket.write(`${head.join('\r\n')}\r\n\r\n${body}`),
    );
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('error', ({ code }) => {
      end = code;
    });
    socket.on('close', () => resolve({ text: Buffer.concat(chunks).toString('latin1'), end }));
  });
}

export function createStreamHead(path, id, lines = []) {
  return [
    ...[
      `POST ${path} HTTP/1.1`,
      'Host: h',
      `X-Attempt-Id: ${id}`,
      `X-Api-Key: ${KEY}`,
      'X-Model: m0',
    ],
    ...['X-Deadline-Ms: 15000', 'Content-Length: 2', ...lines],
  ];
}
