/**
 * Runs a simulated platform as a process. Flag: `--port N`.
 */
import { announceReady, readFlags } from './http.js';
import { startEtcdStore } from './etcdStore.js';

const flags = readFlags(process.argv.slice(2));
await startEtcdStore(Number(flags.get('port')));
announceReady();
