/**
 * Runs a simulated engine as a process. Flags: `--port N --options JSON`, where the JSON overrides
 * default options.
 */
import { DEFAULT_ENGINE_OPTIONS, type EngineOptions, startEngine } from './engine.js';
import { announceReady, readFlags } from './http.js';

const flags = readFlags(process.argv.slice(2));
const overrides = JSON.parse(flags.get('options') ?? '{}') as Partial<EngineOptions>;
await startEngine(Number(flags.get('port')), { ...DEFAULT_ENGINE_OPTIONS, ...overrides });
announceReady();
