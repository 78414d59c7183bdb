/**
 * Simulates routing under load in virtual time. Compares gentiandeck's choice of a server with a random choice
 * and with the server that has the lowest reported load, on the same bursts of requests with shared prompt
 * prefixes. Load reports are delayed.
 */
import { selectServer, getServerRecord } from '../src/coordination/routing.js';
import { EventKind } from '../src/coordination/events.js';
import { stepVm } from '../src/coordination/handlers.js';
import { createVmState, type VmState } from '../src/coordination/vmState.js';
import { DEFAULT_POLICY } from '../src/coordination/policy.js';
import { createRandom, nextRandom, nextRandomInt, type RandomState } from '../src/state/random.js';
import type { Target } from '../src/state/types.js';
import {
  createTestDocument,
  createTestEngine,
  createTestWorkspace,
  TEST_MODEL_TAG,
} from '../tests/fakes/documents.js';
import { createTestHead } from '../tests/fakes/simulatedFleet.js';
import { getQuantile, printFigure } from './figures.js';

const VMS = 8;
const ENGINES = 8;
const MAX_RUNNING_REQUESTS = 16;
const REPORT_INTERVAL_MS = 1_000;
const REPORT_LAG_MS = 1_000;
const DURATION_MS = 60_000;
const TICK_MS = 10;
const PREFIX_COUNT = 60;
const MAX_CACHED_PREFIXES = 12;
/** Prefill time of a prompt whose prefix is not in the KV cache. */
const PREFILL_MS = 250;
const CACHED_PREFILL_MS = 30;
const TOKENS_PER_REQUEST = 100;
/** Time between tokens, without the part that grows with each request in the batch. */
const BASE_GAP_MS = 15;
const GAP_PER_REQUEST_MS = 1.2;
const FIRST_TOKEN_TARGET_MS = 910;
const GAP_TARGET_MS = 45;

interface Job {
  readonly arrivedAtMs: number;
  readonly vm: number;
  firstTokenAtMs: number | null;
  prefillLeftMs: number;
  tokensLeft: number;
  lastTokenAtMs: number;
  /** Fraction of the next token that has been generated. */
  tokenProgress: number;
  gapsMs: number[];
}

interface Engine {
  readonly name: string;
  running: Job[];
  queue: Job[];
  prefixes: number[];
  /** Running and queued requests after each tick. */
  readonly loadHistory: number[];
}

interface Strategy {
  readonly name: string;
  readonly chooseEngine: (simulation: Simulation, vm: number, prefixHash: number) => number;
}

interface Simulation {
  readonly random: RandomState;
  readonly engines: Engine[];
  readonly vms: VmState[];
  nowMs: number;
}

function createTarget(prefixHash: number): Target {
  return {
    kind: 'model',
    model: 'model',
    promptTokens: 100,
    maxTokens: TOKENS_PER_REQUEST,
    prefixHash,
  };
}

/** Returns the load of an engine as it was before the report delay. */
function getReportedLoad(engine: Engine): number {
  const lag = Math.round(REPORT_LAG_MS / TICK_MS);
  return engine.loadHistory.at(-1 - lag) ?? 0;
}

const STRATEGIES: readonly Strategy[] = [
  { name: 'random', chooseEngine: ({ random }) => nextRandomInt(random, ENGINES) },
  {
    name: 'least_reported',
    chooseEngine: ({ engines }) =>
      engines.reduce(
        (best, engine, i) => (getReportedLoad(engine) < getReportedLoad(engines[best]!) ? i : best),
        0,
      ),
  },
  {
    name: 'gentiandeck',
    chooseEngine: ({ engines, nowMs, vms }, vm, prefixHash) => {
      const state = vms[vm]!;
      const target = createTarget(prefixHash);
      const query = { target, targetName: 'model', triedServers: [] };
      const chosen = selectServer(state, state.configuration!, query, nowMs);
      const name = chosen.caseOf({ Left: () => '', Right: (server) => server.name });
      const index = engines.findIndex((engine) => engine.name === name);
      if (index >= 0) {
        getServerRecord(state, name).inFlight += 1;
      }
      return index;
    },
  },
];

function createSimulation(seed: number): Simulation {
  const document = createTestDocument({
    workspaces: [createTestWorkspace('mill')],
    backendServers: Array.from({ length: ENGINES }, (_, i) =>
      createTestEngine(`engine-${i}`, { maxConcurrentRequests: MAX_RUNNING_REQUESTS }),
    ),
  });
  const vms = Array.from({ length: VMS }, (_, i) => {
    const self = {
      vmId: `vm-${i}`,
      incarnation: '1',
      failureDomain: 'fd-a',
      peerAddress: `vm-${i}`,
      firstHeartbeat: 1,
    };
    const state = createVmState(self, DEFAULT_POLICY, seed + i, 0);
    state.liveVms = { inDomain: VMS, all: VMS };
    const head = createTestHead(1);
    stepVm(state, { kind: EventKind.ConfigurationReceived, head, document }, 0);
    return state;
  });
  const engines = Array.from({ length: ENGINES }, (_, i) => ({
    name: `engine-${i}`,
    running: [],
    queue: [],
    prefixes: [],
    loadHistory: [],
  }));
  return { random: createRandom(seed), engines, vms, nowMs: 0 };
}

/** Adds a prefix to the engine's LRU cache, and returns whether it was cached. */
function cachePrefix(engine: Engine, prefix: number): boolean {
  const isCached = engine.prefixes.includes(prefix);
  engine.prefixes = [...engine.prefixes.filter((p) => p !== prefix), prefix].slice(
    -MAX_CACHED_PREFIXES,
  );
  return isCached;
}

function advanceJob(job: Job, gapMs: number, nowMs: number): void {
  if (job.prefillLeftMs > 0) {
    job.prefillLeftMs -= TICK_MS;
    return;
  }
  job.tokenProgress += TICK_MS / gapMs;
  while (job.tokenProgress >= 1 && job.tokensLeft > 0) {
    job.tokenProgress -= 1;
    job.tokensLeft -= 1;
    if (job.firstTokenAtMs === null) {
      job.firstTokenAtMs = nowMs;
    } else {
      job.gapsMs.push(gapMs);
    }
    job.lastTokenAtMs = nowMs;
  }
}

function advanceEngine(simulation: Simulation, engine: Engine, completedJobs: Job[]): void {
  const gapMs = BASE_GAP_MS + GAP_PER_REQUEST_MS * engine.running.length;
  engine.running.forEach((job) => advanceJob(job, gapMs, simulation.nowMs));
  const finishedJobs = engine.running.filter((job) => job.tokensLeft === 0);
  finishedJobs.forEach((job) => {
    const record = getServerRecord(simulation.vms[job.vm]!, engine.name);
    record.inFlight = Math.max(0, record.inFlight - 1);
  });
  completedJobs.push(...finishedJobs);
  engine.running = engine.running.filter((job) => job.tokensLeft > 0);
  while (engine.running.length < MAX_RUNNING_REQUESTS && engine.queue.length > 0) {
    engine.running.push(engine.queue.shift()!);
  }
  engine.loadHistory.push(engine.running.length + engine.queue.length);
}

function reportLoads(simulation: Simulation): void {
  simulation.engines.forEach((engine) => {
    const load = getReportedLoad(engine);
    const report = {
      runningRequests: load,
      queuedRequests: 0,
      usedMemoryMb: 0,
      loadedModels: [TEST_MODEL_TAG],
      loadingModels: [],
      leaving: false,
    };
    simulation.vms.forEach((state) => {
      stepVm(
        state,
        { kind: EventKind.LoadReported, server: engine.name, report },
        simulation.nowMs,
      );
    });
  });
}

interface Result {
  readonly onTimeFraction: number;
  readonly firstTokenP95Ms: number;
  readonly gapP95Ms: number;
  readonly hitFraction: number;
}

function runStrategy(strategy: Strategy, requestsPerSecond: number, seed: number): Result {
  const simulation = createSimulation(seed);
  const arrivals = createRandom(seed + 1_000);
  const completedJobs: Job[] = [];
  let sentRequests = 0;
  let cacheHits = 0;
  let nextArrivalMs = 0;
  for (; simulation.nowMs < DURATION_MS; simulation.nowMs += TICK_MS) {
    if (simulation.nowMs % REPORT_INTERVAL_MS === 0) {
      reportLoads(simulation);
    }
    while (nextArrivalMs <= simulation.nowMs) {
      // Requests arrive in bursts with the same prefix, as when one client sends a batch.
      const prefix = Math.floor(PREFIX_COUNT * nextRandom(arrivals) ** 2);
      const burst = 1 + nextRandomInt(arrivals, 5);
      for (let i = 0; i < burst; i += 1) {
        const vm = nextRandomInt(arrivals, VMS);
        const engine = simulation.engines[strategy.chooseEngine(simulation, vm, prefix)];
        sentRequests += 1;
        if (engine !== undefined) {
          const isHit = cachePrefix(engine, prefix);
          cacheHits += isHit ? 1 : 0;
          engine.queue.push({
            arrivedAtMs: simulation.nowMs,
            vm,
            firstTokenAtMs: null,
            prefillLeftMs: isHit ? CACHED_PREFILL_MS : PREFILL_MS,
            tokensLeft: TOKENS_PER_REQUEST,
            lastTokenAtMs: 0,
            tokenProgress: 0,
            gapsMs: [],
          });
        }
      }
      nextArrivalMs += (-Math.log(1 - nextRandom(arrivals)) * 3_000) / requestsPerSecond;
    }
    simulation.engines.forEach((engine) => advanceEngine(simulation, engine, completedJobs));
  }
  const firstTokens = completedJobs.map(
    (job) => (job.firstTokenAtMs ?? DURATION_MS) - job.arrivedAtMs,
  );
  const gaps = completedJobs.map((job) => getQuantile(job.gapsMs, 0.95));
  const onTimeCount = completedJobs.filter(
    (_, i) => firstTokens[i]! <= FIRST_TOKEN_TARGET_MS && gaps[i]! <= GAP_TARGET_MS,
  ).length;
  return {
    onTimeFraction: onTimeCount / sentRequests,
    firstTokenP95Ms: getQuantile(firstTokens, 0.95),
    gapP95Ms: getQuantile(gaps, 0.95),
    hitFraction: cacheHits / sentRequests,
  };
}

/** Prints the figures of each strategy at several request rates. */
export function runRouting(): void {
  [20, 26, 30].forEach((requestsPerSecond) => {
    STRATEGIES.forEach((strategy) => {
      const { firstTokenP95Ms, gapP95Ms, hitFraction, onTimeFraction } = runStrategy(
        strategy,
        requestsPerSecond,
        1,
      );
      const name = `${strategy.name}_at_${requestsPerSecond}`;
      printFigure(`first_token_p95_${name}`, firstTokenP95Ms, 'ms', FIRST_TOKEN_TARGET_MS);
      printFigure(`token_gap_p95_${name}`, gapP95Ms, 'ms', GAP_TARGET_MS);
      printFigure(`on_time_${name}`, onTimeFraction * 100, '%', 95);
      printFigure(`cache_hits_${name}`, hitFraction * 100, '%');
    });
  });
}
