/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-restricted-syntax: off, n/no-process-exit: off, n/no-unsupported-features/node-builtins: off */
/**
 * Servers leave without a notice just after the machine that reads the store for its zone was cut off from the store. Callers
 * send a few requests to the other machines of the zone later than `drain_ms` after the store has removed the entry.
 */
import http from 'node:http';
import {
  BROKEN,
  HELD,
  isTroubled,
  NOT_RUN,
  now,
  record,
  runCase,
  startServer,
  startStore,
  startVm,
  wait,
} from '../lib/harness.mjs';
import { startProxy } from '../lib/proxy.mjs';

const ROUNDS = 6;
/** Three machines in one zone and two in another, as the smallest site has them. */
const ZONES = [
  { zone: 'zone-c', names: ['edge-c-1', 'edge-c-2'] },
  { zone: 'zone-a', names: ['edge-a-1', 'edge-a-2', 'edge-a-3'] },
];
const SERVERS = 8;
const DRAIN_S = 2;
/** The longest cut of a single machine on the sheets is 5.5 s. */
const CUT_MS = 4_000;
/** A machine is in touch `contact_ms` (3 s) after the end of a disruption. */
const CALM_MS = 4_500;
const LEAVES_AFTER_MS = 20;
/** Callers send after the bound of `drain_ms`, with a margin. */
const SENT_AFTER_MS = 2_040;
const REQUESTS_PER_VM = 16;
const WORK_MS = 400;
/** How long a server serves after the store has removed its entry: `drain_ms` and a little longer. */
const EXIT_AFTER_MS = 2_300;
const SEAL = 'seal-1';

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      ...{ name: 'bookings', host: 'h.example', prefix: '/book/', route_kind: 'non_idempotent' },
      ...{ timeout_ms: 2_000, goal_ms: 300, attempts: 1, public: true, service: 'booking' },
    },
  ],
  services: [{ name: 'booking', health_path: '/healthz', max_conns: 100 }],
  limits: {
    ...{ max_header_bytes: 16_384, max_body_bytes: 4_194_304 },
    ...{ header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  },
  tenants: [],
};

const leftAt = new Map();
const late = [];

/** Runs a booking. A server that leaves says so in all its answers. */
function book(serverId) {
  return (request, response) => {
    const id = request.headers['x-attempt-id'];
    const vm = String(id).split('/')[0];
    const sinceLeft = leftAt.has(serverId) ? now() - leftAt.get(serverId).at : 0;
    const isLate = sinceLeft > DRAIN_S && vm !== leftAt.get(serverId).cutVm;
    record(
      `${id} reaches ${serverId}${leftAt.has(serverId) ? `, which left ${sinceLeft.toFixed(3)} s ago` : ''}`,
    );
    if (isLate) {
      late.push(id);
    }
    request.resume();
    request.on('end', async () => {
      await wait(WORK_MS);
      const leaving = leftAt.has(serverId) ? { 'Server-Leaving': '1' } : {};
      response.writeHead(200, {
        ...{ 'X-Attempt-Id': id, 'X-Server-Seal': SEAL, 'X-Server-Load': '1,0,16' },
        ...leaving,
        'Content-Length': 5,
      });
      response.end('whole');
    });
  };
}

/** Sends a booking on a new connection, and records its answer. */
function call(vm, id) {
  const [host, port] = vm.address.split(':');
  return new Promise((resolve) => {
    const request = http.request({
      ...{ host, port, path: '/book/1', method: 'POST', agent: false },
      headers: { host: 'h.example', 'x-attempt-id': id, 'x-deadline-ms': '2000' },
    });
    request.on('response', (response) => {
      response.resume();
      response.on('close', () => {
        record(`${id} is answered ${response.statusCode}`);
        resolve(response.statusCode);
      });
    });
    request.on('error', ({ code }) => {
      record(`${id} fails: ${code}`);
      resolve(0);
    });
    request.end('body');
  });
}

/** Returns the role of a machine as its log tells it last. */
function getRole({ log }) {
  return [...log.matchAll(/"role":"(\w+)"/g)].at(-1)?.[1] ?? '';
}

await runCase(import.meta.url, async () => {
  const store = await startStore();
  store.put('op/config', CONFIGURATION);
  let count = 0;
  const add = () => {
    count += 1;
    const id = `server-${count}`;
    return startServer({ id, service: 'booking', store, onRequest: book(id) });
  };
  const servers = await Promise.all(Array.from({ length: SERVERS }, add));
  const vms = [];
  const proxies = new Map();
  for (const { names, zone } of ZONES) {
    for (const name of names) {
      const proxy = await startProxy(store.address);
      const vm = await startVm({ name, zone, storeAddress: proxy.address });
      proxies.set(vm, proxy);
      vms.push(vm);
    }
  }
  const zoneVms = vms.filter(({ name }) => ZONES[1].names.includes(name));
  await wait(CALM_MS);
  const statuses = [];
  for (let round = 1; round <= ROUNDS; round += 1) {
    const [reader] = zoneVms.filter((vm) => getRole(vm) === 'reader');
    if (reader === undefined) {
      return NOT_RUN;
    }
    const others = zoneVms.filter((vm) => vm !== reader);
    record(`roles: ${vms.map((vm) => `${vm.name} ${getRole(vm)}`).join(', ')}`);
    const server = servers.shift();
    if (isTroubled) {
      proxies.get(reader).cut();
      record(`${reader.name}, which reads the store, is cut off from it`);
    }
    await wait(LEAVES_AFTER_MS);
    server.stopBeats();
    leftAt.set(server.id, { at: now(), cutVm: isTroubled ? reader.name : '' });
    store.remove(`servers/${server.id}`);
    record(`the store removes ${server.id}, which serves on`);
    setTimeout(() => {
      record(`${server.id} exits, ${server.sockets.size} connections are open`);
      server.server.close();
      server.sockets.forEach((socket) => socket.resetAndDestroy());
    }, EXIT_AFTER_MS);
    await wait(SENT_AFTER_MS);
    const calls = others.flatMap((vm) =>
      Array.from({ length: REQUESTS_PER_VM }, (_, i) => call(vm, `${vm.name}/${round}/${i}`)),
    );
    statuses.push(...(await Promise.all(calls)));
    await wait(CUT_MS - LEAVES_AFTER_MS - SENT_AFTER_MS);
    if (isTroubled) {
      proxies.get(reader).heal();
      record('the cut has healed');
    }
    servers.push(await add());
    await wait(CALM_MS);
  }
  if (statuses.filter((status) => status === 200).length < statuses.length / 2) {
    return NOT_RUN;
  }
  const lost = statuses.filter((status) => status !== 200).length;
  record(`${lost} of ${statuses.length} bookings have no success`);
  late.forEach((id) =>
    record(`DRAIN: ${id} reached a server later than ${DRAIN_S} s after its end`),
  );
  return late.length > 0 ? BROKEN : HELD;
});
