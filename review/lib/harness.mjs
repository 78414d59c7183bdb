/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-restricted-syntax: off, n/no-process-exit: off, n/no-unsupported-features/node-builtins: off */
/**
 * What the scripts of the cases share: the record, processes of the project with the command of the deploy file, the
 * project's stand-in of the platform's store, and servers that register themselves there.
 */
import { spawn } from 'node:child_process';
import { appendFile, mkdtemp, rm, writeFile } from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;
const LIMIT_MS = 115_000;
const HEARTBEAT_MS = 1_200;

export const isTroubled = process.env.TROUBLE !== '0';
/** The project's stand-in of the store, which `review/build.sh` builds. */
const STORE_MODULE = new URL('../../dist/tests/stand-ins/platformStore.js', import.meta.url);
const ROOT = new URL('../..', import.meta.url).pathname;
const startedAtMs = performance.now();
const folder = await mkdtemp(join(tmpdir(), 'review-'));
const children = new Set();
let recordPath = '';
/** The lines are written one after the other; the end of the script waits for all. */
let written = Promise.resolve();
let lastLine = '';
let isEnding = false;

/** Returns the seconds since the start of the script. */
export function now() {
  return (performance.now() - startedAtMs) / 1_000;
}

/** Writes a line to the record. */
export function record(text) {
  lastLine = `${now().toFixed(3)} ${text}\n`;
  const line = lastLine;
  written = written.then(() => appendFile(recordPath, line));
}

export function wait(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function end(status) {
  // Nothing that is still running may start another process now.
  isEnding = true;
  children.forEach((child) => child.kill('SIGKILL'));
  await written;
  await rm(folder, { recursive: true, force: true });
  process.stdout.write(lastLine);
  process.exit(status);
}

/** A script that is itself ended leaves no process behind. */
process.on('exit', () => children.forEach((child) => child.kill('SIGKILL')));
['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((name) => {
  process.on(name, () => {
    record(`the script gets ${name}`);
    end(NOT_RUN).catch(() => process.exit(NOT_RUN));
  });
});

/** Runs a case, which returns the status, and ends all processes that it started. */
export async function runCase(caseUrl, run) {
  recordPath = new URL('record.txt', caseUrl).pathname;
  await writeFile(recordPath, '');
  record(`begins, ${isTroubled ? 'with' : 'without'} the disruption`);
  setTimeout(() => {
    record('the time limit was reached');
    end(NOT_RUN).catch(() => process.exit(NOT_RUN));
  }, LIMIT_MS);
  try {
    const status = await run();
    record(`ends with ${status}`);
    await end(status);
  } catch (error) {
    record(`failed: ${error.stack}`);
    await end(NOT_RUN);
  }
}

/** Finds a free port of an address. */
export function findPort(host = '127.0.0.1') {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Waits for a condition; rejects after ten seconds. */
export async function until(name, condition) {
  const limitMs = performance.now() + 10_000;
  while (!(await condition())) {
    if (performance.now() > limitMs) {
      throw new Error(`timeout: ${name}`);
    }
    await wait(25);
  }
}

async function isReady(address) {
  try {
    return (await fetch(`http://${address}/v1/readyz`)).status === 200;
  } catch {
    return false;
  }
}

const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3_000,
  drain_ms: 2_000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_ms: 2_000,
  retry_budget: 0.2,
  budget_window_s: 10,
  retry_slack: 54,
  quota_window_s: 8,
  quota_overrun: 0.1,
  quota_slack: 11_000,
  fencing: true,
  lease_ms: 3_000,
  ceiling_window_s: 5,
  ceiling_overrun: 1.1,
};

/** Starts a machine of the system with the command of the deploy file, and waits until it is ready unless `waits` is false. */
export async function startVm({
  name,
  storeAddress,
  zone = 'zone-a',
  ip = '127.0.0.1',
  waits = true,
}) {
  const ports = await Promise.all([findPort(ip), findPort(ip), findPort(ip), findPort(ip)]);
  const [frontend, ready, peer, metrics] = ports;
  const address = `${ip}:${frontend}`;
  const readyAddress = `${ip}:${ready}`;
  const path = join(folder, `${name}.json`);
  const settings = {
    ...{ node_name: name, role: 'entry', machine_class: 'edge', serves: ['edge'], ip, zone },
    ...{ region: 'region', port_range: [peer, peer], bootstrap: true },
    listen: { frontend_addr: address, ready_addr: readyAddress },
    limits: { cpu_quota: 0.675, cores: 1, memory_mb: 350, max_fds: 4_200, link_mbps: 1_000 },
    bounds: BOUNDS,
    platform: { address: storeAddress, form: 'kv', writes_per_s: 400, reads_per_s: 2_000 },
  };
  await writeFile(path, JSON.stringify(settings));
  const args = ['--max-old-space-size=200', 'target/gentiandeckEntry.cjs'];
  if (isEnding) {
    throw new Error('the script ends');
  }
  const child = spawn(process.execPath, [...args, '--metrics-port', String(metrics)], {
    cwd: ROOT,
    env: { PATH: process.env.PATH, HOME: process.env.HOME, GENTIANDECK_NODE_FILE: path },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  children.add(child);
  const vm = { name, address, readyAddress, child, log: '', peer: `${ip}:${peer}` };
  const append = (chunk) => {
    vm.log += chunk;
  };
  child.stdout.on('data', append);
  child.stderr.on('data', append);
  child.once('exit', (code, endSignal) => {
    children.delete(child);
    record(`${name} has ended, code ${code}, signal ${endSignal}`);
  });
  if (!waits) {
    return vm;
  }
  await until(`${name} is ready`, () => isReady(readyAddress));
  record(`${name} is ready at ${address}`);
  return vm;
}

/** Sends a signal to a machine. */
export function signal(vm, name) {
  record(`${name} is sent to ${vm.name}`);
  vm.child.kill(name);
}

/** Starts the store of the platform: the project's stand-in. */
export async function startStore() {
  const { startPlatformStore } = await import(STORE_MODULE);
  return startPlatformStore();
}

/** Starts an HTTP server that registers itself under an id and writes its entry every heartbeat. */
export async function startServer({ id, service, store, onRequest, zone = 'zone-a', more = {} }) {
  const server = http.createServer(onRequest);
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${server.address().port}`;
  const entry = { service, address, zone, version: 'v1', slots: 16, state: 'ready' };
  const born = Date.now();
  let seq = 0;
  let state = 'ready';
  const beat = () => {
    seq += 1;
    store.put(`servers/${id}`, { ...entry, cold_left_ms: 0, born, seq, ...more, state });
  };
  beat();
  let timer = null;
  // Servers do not write at the same moment.
  const delay = setTimeout(() => {
    beat();
    timer = setInterval(beat, HEARTBEAT_MS);
  }, Math.random() * HEARTBEAT_MS);
  const sockets = new Set();
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  return {
    ...{ id, address, server, sockets },
    /** Reports that the server leaves. */
    leave: () => {
      state = 'draining';
      beat();
    },
    stopBeats: () => {
      clearTimeout(delay);
      clearInterval(timer);
    },
  };
}
