/**
 * Runs a simulated platform as a process. Flag: `--port N`.
 */
import { announceReady, readFlags } from './http.js';
import { startStore } from './store.js';

const flags = readFlags(process.argv.slice(2));
await startStore(Number(flags.get('port')));
announceReady();
