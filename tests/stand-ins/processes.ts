/**
 * Starts the programs and stand-ins as processes of their own, and ends just those.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import net from 'node:net';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** The folder of the built programs, from the sources as from the build. */
const ROOT = fileURLToPath(import.meta.url).includes('/dist/')
  ? join(dirname(fileURLToPath(import.meta.url)), '../..')
  : join(dirname(fileURLToPath(import.meta.url)), '../../dist');

const STOP_TIMEOUT_MS = 15_000;

/** A started process. */
export interface Started {
  readonly name: string;
  readonly child: ChildProcess;
  /** What it has written so far. */
  readonly getOutput: () => string;
}

/** Returns the path of a built program. */
export function getProgramPath(program: string): string {
  return join(ROOT, program);
}

const children = new Set<ChildProcess>();
process.on('exit', () => children.forEach((child) => child.kill('SIGKILL')));

/** Below the range from which the system takes ports of outgoing connections. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
let nextPort = process.pid % PORT_COUNT;

function canListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Finds a free port of the loopback; never the same one twice. */
export async function findPort(): Promise<number> {
  const port = FIRST_PORT + (nextPort % PORT_COUNT);
  nextPort += 1;
  return (await canListen(port)) ? port : findPort();
}

/** Starts a built program and waits until its output has a text. */
export async function startProgram(
  name: string,
  program: string,
  args: readonly string[],
  readyText: string,
): Promise<Started> {
  const child = spawn(process.execPath, [getProgramPath(program), ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  children.add(child);
  child.once('exit', () => children.delete(child));
  let output = '';
  const started = { name, child, getOutput: () => output };
  await new Promise<void>((resolve, reject) => {
    const take = (chunk: Buffer): void => {
      output += chunk.toString();
      if (output.includes(readyText)) {
        resolve();
      }
    };
    child.stdout.on('data', take);
    child.stderr.on('data', take);
    child.once('exit', (code) => reject(new Error(`${name} ended with ${code}: ${output}`)));
  });
  return started;
}

/** Tells whether a process still runs. */
export function isRunning({ child }: Started): boolean {
  return child.exitCode === null && child.signalCode === null;
}

/** Ends a process with a signal and waits for its end; a planned stop is SIGTERM. */
export async function endProcess(
  started: Started,
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

/** Waits until a condition holds. */
export async function waitFor(
  what: string,
  isTrue: () => Promise<boolean> | boolean,
  timeoutMs = 15_000,
): Promise<void> {
  const startMs = performance.now();
  while (!(await isTrue())) {
    if (performance.now() - startMs > timeoutMs) {
      throw new Error(`timeout: ${what}`);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
}
