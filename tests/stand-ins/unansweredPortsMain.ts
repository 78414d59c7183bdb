/**
 * Listens on ports of its own from SIGUSR2 on and keeps at most two unaccepted connections on each. Once a test has stopped the process
 * and filled those places, the system answers no further connect to the ports. Flag: `--ports N,N,...`.
 */
import net from 'node:net';
import { announceReady, readFlags } from './http.js';

const LISTENING_TEXT = 'All ports listen.';
const BACKLOG = 1;

const ports = (readFlags(process.argv.slice(2)).get('ports') ?? '').split(',').map(Number);
let listeningCount = 0;

function recordListening(): void {
  listeningCount += 1;
  if (listeningCount === ports.length) {
    process.stdout.write(`${LISTENING_TEXT}\n`);
  }
}

process.once('SIGUSR2', () =>
  ports.forEach((port) => {
    net.createServer().listen({ port, host: '127.0.0.1', backlog: BACKLOG }, recordListening);
  }),
);
// The process would end without anything to wait for.
setInterval(() => {}, 60_000);
announceReady();
