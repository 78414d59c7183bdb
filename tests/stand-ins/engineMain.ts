/**
 * The engine's stand-in as a process: `--port N --options JSON`.
 */
import { DEFAULT_ENGINE_OPTIONS, type EngineOptions, startEngine } from './engine.js';
import { announceReady, readFlags } from './http.js';

const flags = readFlags(process.argv.slice(2));
const given = JSON.parse(flags.get('options') ?? '{}') as Partial<EngineOptions>;
await startEngine(Number(flags.get('port')), { ...DEFAULT_ENGINE_OPTIONS, ...given });
announceReady();
