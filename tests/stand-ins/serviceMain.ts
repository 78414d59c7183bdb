/**
 * Runs a simulated plain service as a process. Flag: `--port N`.
 */
import { announceReady, readFlags } from './http.js';
import { startService } from './service.js';

const flags = readFlags(process.argv.slice(2));
await startService(Number(flags.get('port')));
announceReady();
