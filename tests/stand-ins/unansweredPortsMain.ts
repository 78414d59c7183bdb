/**
 * Listens on ports of its own from SIGUSR2 on and keeps at most two unaccepted connections on each. Once a test has stopped the process
 * and filled those places, the system answers no further connect to the ports. Flags: `--host H --ports N,N,...`.
 */
import net from 'node:net';
import { announceReady, readFlags } from './http.js';

const LISTENING_TEXT = 'All ports listen.';
const BACKLOG = 1;

const flags = readFlags(process.argv.slice(2));
const host = flags.get('host') ?? '';
const ports = (flags.get('ports') ?? '').split(',').map(Number);
let listeningCount = 0;

function recordListening(): void {
  listeningCount += 1;
  if (listeningCount === ports.length) {
    process.stdout.write(`${LISTENING_TEXT}\n`);
  }
}

process.once('SIGUSR2', () =>
  ports.forEach((port) => {
    net.createServer().listen({ port, host, backlog: BACKLOG }, recordListening);
  }),
);
// The process would end without anything to wait for.
setInterval(() => {}, 60_000);
announceReady();
