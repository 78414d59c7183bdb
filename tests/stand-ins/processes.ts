/**
 * Starts built programs and stand-ins as child processes, ends them, and finds free ports for them. Children
 * that still run when this process exits are killed.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import net from 'node:net';
import { dirname, isAbsolute, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** The folder of the built programs, whether this module runs from its source or from the build. */
const BUILD_ROOT = fileURLToPath(import.meta.url).includes('/dist/')
  ? join(dirname(fileURLToPath(import.meta.url)), '../..')
  : join(dirname(fileURLToPath(import.meta.url)), '../../dist');

const STOP_TIMEOUT_MS = 15_000;

/** A child process that was started. */
export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Returns its standard output and standard error up to now. */
  readonly getOutput: () => string;
}

/** Returns the path of a built program, which is named by its place in the build or by an absolute path. */
export function getProgramPath(program: string): string {
  return isAbsolute(program) ? program : join(BUILD_ROOT, program);
}

const children = new Set<ChildProcess>();
process.on('exit', () => children.forEach((child) => child.kill('SIGKILL')));

/** The ports lie below the range from which the system assigns ports to outgoing connections. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
let nextPortOffset = process.pid % PORT_COUNT;
/** A host at which nothing listens but the process that has a port to itself. */
const RESERVATION_HOST = '127.255.255.253';

/** Returns a server that listens, or null if something else does. */
function tryListen(host: string, port: number): Promise<net.Server | null> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(null));
    server.listen(port, host, () => resolve(server));
  });
}

async function canListen(port: number): Promise<boolean> {
  const server = await tryListen('127.0.0.1', port);
  server?.close();
  return server !== null;
}

/** Reserves a port for this process until it ends: programs of other tests may run at the same time. */
async function reservePort(port: number): Promise<boolean> {
  const reservation = await tryListen(RESERVATION_HOST, port);
  reservation?.unref();
  return reservation !== null;
}

/** Finds a free loopback port, which this function returns neither to this process nor to another one again while this one runs. */
export async function findFreePort(): Promise<number> {
  const port = FIRST_PORT + (nextPortOffset % PORT_COUNT);
  nextPortOffset += 1;
  return (await canListen(port)) && (await reservePort(port)) ? port : findFreePort();
}

/** Starts a built program. */
export function spawnProgram(
  name: string,
  program: string,
  args: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): StartedProcess {
  const child = spawn(process.execPath, [getProgramPath(program), ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...environment },
  });
  children.add(child);
  child.once('exit', () => children.delete(child));
  let output = '';
  const appendOutput = (chunk: Buffer): void => {
    output += chunk.toString();
  };
  child.stdout.on('data', appendOutput);
  child.stderr.on('data', appendOutput);
  return { name, child, getOutput: () => output };
}

/** Starts a built program and waits until its output contains a text. */
export async function startProgram(
  name: string,
  program: string,
  args: readonly string[],
  readyText: string,
  environment: Readonly<Record<string, string>> = {},
): Promise<StartedProcess> {
  const started = spawnProgram(name, program, args, environment);
  const { child, getOutput } = started;
  await new Promise<void>((resolve, reject) => {
    // Each search copies the whole output, so that later output is not searched.
    const checkOutput = (): void => {
      if (getOutput().includes(readyText)) {
        child.stdout?.off('data', checkOutput);
        child.stderr?.off('data', checkOutput);
        resolve();
      }
    };
    child.stdout?.on('data', checkOutput);
    child.stderr?.on('data', checkOutput);
    child.once('exit', (code) =>
      reject(
        new Error(
          `process ${name} exited with code ${code} before it was ready, output: ${getOutput()}`,
        ),
      ),
    );
  });
  return started;
}

/** Returns whether a process is still running. */
export function isRunning({ child }: StartedProcess): boolean {
  return child.exitCode === null && child.signalCode === null;
}

/**
 * Sends a signal to a process and waits until it exits; SIGKILL follows after a timeout. SIGTERM requests a
 * graceful shutdown.
 */
export async function endProcess(
  started: StartedProcess,
  signal: 'SIGTERM' | 'SIGKILL' = 'SIGKILL',
): Promise<number | null> {
  if (!isRunning(started)) {
    return started.child.exitCode;
  }
  const exited = once(started.child, 'exit');
  started.child.kill(signal);
  const timer = setTimeout(() => started.child.kill('SIGKILL'), STOP_TIMEOUT_MS);
  await exited;
  clearTimeout(timer);
  return started.child.exitCode;
}

/** Polls a condition until it holds; throws after the timeout. */
export async function waitFor(
  condition: string,
  isTrue: () => Promise<boolean> | boolean,
  timeoutMs = 15_000,
): Promise<void> {
  const startMs = performance.now();
  while (!(await isTrue())) {
    if (performance.now() - startMs > timeoutMs) {
      throw new Error(`timeout, expected: ${condition}`);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
}
