/* eslint-disable n/no-process-exit, no-await-in-loop, no-param-reassign, no-promise-executor-return, no-void -- scripts of a review run as they are, without a build */
/**
 * What the scripts of this review share: settings, processes of the deploy file, a record, and cleaning up.
 */
import { spawn } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');

/** Loads a stand-in of the project, which `review/build-2.sh` builds to dist/. Without a build the rest of the script still loads. */
export const importStandIn = (name) =>
  import(new URL(`../../dist/tests/stand-ins/${name}.js`, import.meta.url));

const RUN_PATTERN = /^run = "node (.*)"$/m;
const deployFile = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
export const isTroubled = process.env.TROUBLE !== '0';

export const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Collects the lines of `record.txt`, which is written at the end. */
export function createRecord(folder) {
  const lines = [];
  const startMs = performance.now();
  return {
    add: (text) => {
      const line = `${((performance.now() - startMs) / 1000).toFixed(3)} ${text}`;
      lines.push(line);
      process.stdout.write(`${line}\n`);
    },
    save: () => writeFile(join(folder, 'record.txt'), `${lines.join('\n')}\n`),
  };
}

export const folder = await mkdtemp(join(tmpdir(), 'review-'));
const children = new Set();
process.on('exit', () => {
  children.forEach((child) => child.kill('SIGKILL'));
});

['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((signal) => process.on(signal, () => process.exit(2)));

/** The fields of the settings of a small deployment, as DEPLOY.md gives them. */
export async function createVm(
  name,
  storeAddress,
  { zone = 'nbo-a', limits = {}, bounds = {} } = {},
) {
  const { findFreePort } = await importStandIn('processes');
  const ports = await Promise.all(Array.from({ length: 5 }, () => findFreePort()));
  const [front, ready, control, peer, metrics] = ports;
  const settings = {
    node_name: name,
    role: 'entry',
    machine_class: 'edge',
    serves: ['edge'],
    ip: '127.0.0.1',
    zone,
    region: 'nairobi',
    port_range: [peer, peer],
    seeds: [],
    bootstrap: true,
    in_tolerance: false,
    discovery: 'platform',
    entrypoint: 'vip',
    heartbeat_ms: 1200,
    contracts: [
      'base',
      'drain',
      'config',
      'cost',
      'retry',
      'recover',
      'fleet',
      'stream',
      'engine',
      'tenants',
      'quota',
      'platform',
    ],
    zones: { 'nbo-a': 'nairobi', 'nbo-b': 'nairobi', 'nbo-c': 'nairobi' },
    listen: {
      frontend_addr: `127.0.0.1:${front}`,
      ready_addr: `127.0.0.1:${ready}`,
      control_plane: `127.0.0.1:${control}`,
    },
    limits: {
      cpu_quota: 0.675,
      cores: 1,
      memory_mb: 350,
      max_fds: 4200,
      link_mbps: 1000,
      disk_mb: 0,
      ...limits,
    },
    fault_tolerance: { machines: 1, zones: 1, regions: 0 },
    bounds: {
      ...{
        seed_lag_s: 3,
        reuse_after_s: 2,
        contact_ms: 3000,
        ack_ms: 4000,
        catch_up_s: 4,
        drain_ms: 2000,
      },
      ...{ grace_s: 8, loss_slack_ms: 200, config_ms: 2000, downgrade_ms: 250, outer_ms: 5000 },
      ...{
        fail_closed: false,
        revoke_ms: 5000,
        retry_budget: 0.2,
        budget_window_s: 10,
        retry_slack: 54,
      },
      ...{ quota_window_s: 8, quota_overrun: 0.1, quota_slack: 11000, recover_s: 12, pass_ms: 120 },
      ...{
        again_s: 0,
        fencing: true,
        lease_ms: 3000,
        thaw_ms: 300,
        ceiling_window_s: 5,
        ceiling_overrun: 1.1,
      },
      ...bounds,
    },
    platform: {
      ...{ address: storeAddress, form: 'kv', writes_per_s: 400, reads_per_s: 2000, history_s: 20 },
      ...{ value_bytes: 1048576, ttl_min_ms: 1000 },
    },
  };
  const settingsPath = join(folder, `${name}.json`);
  await writeFile(settingsPath, JSON.stringify(settings));
  return {
    ...{ name, settings, settingsPath, metricsPort: metrics },
    address: settings.listen.frontend_addr,
    readyAddress: settings.listen.ready_addr,
    peerAddress: `127.0.0.1:${peer}`,
    child: null,
    output: '',
  };
}

/** Starts the process of a VM with the command of the deploy file; only the port of the metrics is a free one. */
export function startVm(vm) {
  const [, command] = RUN_PATTERN.exec(deployFile);
  const args = command.replace(/--metrics-port \d+/, `--metrics-port ${vm.metricsPort}`).split(' ');
  const { PATH, HOME, LANG } = process.env;
  const child = spawn('node', args, {
    cwd: ROOT,
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { PATH, HOME, LANG, GENTIANDECK_NODE_FILE: vm.settingsPath },
  });
  children.add(child);
  vm.child = child;
  vm.isRunning = true;
  vm.end = null;
  const append = (chunk) => {
    vm.output += chunk;
  };
  child.stdout.on('data', append);
  child.stderr.on('data', append);
  vm.exited = new Promise((resolve) => {
    child.once('exit', (code, signal) => {
      children.delete(child);
      if (vm.child === child) {
        vm.isRunning = false;
      }
      vm.end = { code, signal };
      resolve(vm.end);
    });
  });
  return child;
}

/** Starts another program of this review as a process. */
export function startProgram(path, args = []) {
  const child = spawn('node', [path, ...args], { stdio: ['pipe', 'pipe', 'inherit'] });
  children.add(child);
  child.once('exit', () => children.delete(child));
  return child;
}

export function isReady({ readyAddress }) {
  return new Promise((resolve) => {
    const request = http.get(
      `http://${readyAddress}/v1/readyz`,
      { agent: false, timeout: 1000 },
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(false));
  });
}

export async function waitFor(what, check, ms = 20000) {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs) {
    if (await check()) {
      return;
    }
    await wait(50);
  }
  throw new Error(`timed out: ${what}`);
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(url, play) {
  const caseFolder = dirname(fileURLToPath(url));
  const record = createRecord(caseFolder);
  const end = async (status) => {
    await record.save();
    await rm(folder, { recursive: true, force: true });
    process.exit(status);
  };
  const timer = setTimeout(() => {
    record.add('the case took too long');
    void end(2);
  }, 115000);
  let status = 2;
  try {
    record.add(isTroubled ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
    status = (await play(record)) ? 1 : 0;
    record.add(status === 1 ? 'the rule was broken' : 'the rule held');
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
  }
  clearTimeout(timer);
  await end(status);
}
