/**
 * Finds free ports, prints them, and keeps them until it is ended. Flag: `--count N`.
 */
import { announceReady, readFlags } from './http.js';
import { findFreePort } from './processes.js';

const count = Number(readFlags(process.argv.slice(2)).get('count'));
const ports: number[] = [];
while (ports.length < count) {
  ports.push(await findFreePort());
}
process.stdout.write(`ports ${ports.join(',')}\n`);
// The process would end without anything to wait for.
setInterval(() => {}, 60_000);
announceReady();
