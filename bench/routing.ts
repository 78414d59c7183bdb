/**
 * Routing under load, on a virtual time: this system's choice against random choice and against the
 * least loaded by lagging reports alone, for the same bursty requests with shared prompt prefixes.
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
const PLACES = 16;
const REPORT_MS = 1_000;
const REPORT_LAG_MS = 1_000;
const DURATION_MS = 60_000;
const TICK_MS = 10;
const PREFIXES = 60;
const CACHED_PREFIXES = 12;
/** A prompt that is not cached costs this much before the first token. */
const PREFILL_MS = 250;
const CACHED_PREFILL_MS = 30;
const TOKENS = 100;
/** Time between tokens in a batch that is not full; it grows with the batch. */
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
  credit: number;
  gapsMs: number[];
}

interface Engine {
  readonly name: string;
  running: Job[];
  queue: Job[];
  prefixes: number[];
  readonly history: number[];
}

interface Strategy {
  readonly name: string;
  readonly choose: (world: World, vm: number, prefixHash: number) => number;
}

interface World {
  readonly random: RandomState;
  readonly engines: Engine[];
  readonly vms: VmState[];
  nowMs: number;
}

function createTarget(prefixHash: number): Target {
  return { kind: 'model', model: 'model', promptTokens: 100, maxTokens: TOKENS, prefixHash };
}

function getReportedLoad(engine: Engine): number {
  const lag = Math.round(REPORT_LAG_MS / TICK_MS);
  return engine.history.at(-1 - lag) ?? 0;
}

const STRATEGIES: readonly Strategy[] = [
  { name: 'random', choose: ({ random }) => nextRandomInt(random, ENGINES) },
  {
    name: 'least_reported',
    choose: ({ engines }) =>
      engines.reduce(
        (best, engine, i) => (getReportedLoad(engine) < getReportedLoad(engines[best]!) ? i : best),
        0,
      ),
  },
  {
    name: 'gentiandeck',
    choose: ({ engines, nowMs, vms }, vm, prefixHash) => {
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

function createWorld(seed: number): World {
  const document = createTestDocument({
    workspaces: [createTestWorkspace('mill')],
    backendServers: Array.from({ length: ENGINES }, (_, i) =>
      createTestEngine(`engine-${i}`, { maxConcurrentRequests: PLACES }),
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
    history: [],
  }));
  return { random: createRandom(seed), engines, vms, nowMs: 0 };
}

function usePrefix(engine: Engine, prefix: number): boolean {
  const isCached = engine.prefixes.includes(prefix);
  engine.prefixes = [...engine.prefixes.filter((p) => p !== prefix), prefix].slice(
    -CACHED_PREFIXES,
  );
  return isCached;
}

function advanceJob(job: Job, gapMs: number, nowMs: number): void {
  if (job.prefillLeftMs > 0) {
    job.prefillLeftMs -= TICK_MS;
    return;
  }
  job.credit += TICK_MS / gapMs;
  while (job.credit >= 1 && job.tokensLeft > 0) {
    job.credit -= 1;
    job.tokensLeft -= 1;
    if (job.firstTokenAtMs === null) {
      job.firstTokenAtMs = nowMs;
    } else {
      job.gapsMs.push(gapMs);
    }
    job.lastTokenAtMs = nowMs;
  }
}

function advanceEngine(world: World, engine: Engine, done: Job[]): void {
  const gapMs = BASE_GAP_MS + GAP_PER_REQUEST_MS * engine.running.length;
  engine.running.forEach((job) => advanceJob(job, gapMs, world.nowMs));
  const ended = engine.running.filter((job) => job.tokensLeft === 0);
  ended.forEach((job) => {
    const record = getServerRecord(world.vms[job.vm]!, engine.name);
    record.inFlight = Math.max(0, record.inFlight - 1);
  });
  done.push(...ended);
  engine.running = engine.running.filter((job) => job.tokensLeft > 0);
  while (engine.running.length < PLACES && engine.queue.length > 0) {
    engine.running.push(engine.queue.shift()!);
  }
  engine.history.push(engine.running.length + engine.queue.length);
}

function reportLoads(world: World): void {
  world.engines.forEach((engine) => {
    const load = getReportedLoad(engine);
    const report = {
      runningRequests: load,
      queuedRequests: 0,
      usedMemoryMb: 0,
      loadedModels: [TEST_MODEL_TAG],
      loadingModels: [],
      leaving: false,
    };
    world.vms.forEach((state) => {
      stepVm(state, { kind: EventKind.LoadReported, server: engine.name, report }, world.nowMs);
    });
  });
}

interface Result {
  readonly onTime: number;
  readonly firstTokenP95Ms: number;
  readonly gapP95Ms: number;
  readonly hitPart: number;
}

function runStrategy(strategy: Strategy, requestsPerSecond: number, seed: number): Result {
  const world = createWorld(seed);
  const arrivals = createRandom(seed + 1_000);
  const done: Job[] = [];
  let sent = 0;
  let hits = 0;
  let nextAtMs = 0;
  for (; world.nowMs < DURATION_MS; world.nowMs += TICK_MS) {
    if (world.nowMs % REPORT_MS === 0) {
      reportLoads(world);
    }
    while (nextAtMs <= world.nowMs) {
      // Bursts of one prefix, as when one desk sends a batch.
      const prefix = Math.floor(PREFIXES * nextRandom(arrivals) ** 2);
      const burst = 1 + nextRandomInt(arrivals, 5);
      for (let i = 0; i < burst; i += 1) {
        const vm = nextRandomInt(arrivals, VMS);
        const engine = world.engines[strategy.choose(world, vm, prefix)];
        sent += 1;
        if (engine !== undefined) {
          const isHit = usePrefix(engine, prefix);
          hits += isHit ? 1 : 0;
          engine.queue.push({
            arrivedAtMs: world.nowMs,
            vm,
            firstTokenAtMs: null,
            prefillLeftMs: isHit ? CACHED_PREFILL_MS : PREFILL_MS,
            tokensLeft: TOKENS,
            lastTokenAtMs: 0,
            credit: 0,
            gapsMs: [],
          });
        }
      }
      nextAtMs += (-Math.log(1 - nextRandom(arrivals)) * 3_000) / requestsPerSecond;
    }
    world.engines.forEach((engine) => advanceEngine(world, engine, done));
  }
  const firstTokens = done.map((job) => (job.firstTokenAtMs ?? DURATION_MS) - job.arrivedAtMs);
  const gaps = done.map((job) => getQuantile(job.gapsMs, 0.95));
  const onTime = done.filter(
    (_, i) => firstTokens[i]! <= FIRST_TOKEN_TARGET_MS && gaps[i]! <= GAP_TARGET_MS,
  ).length;
  return {
    onTime: onTime / sent,
    firstTokenP95Ms: getQuantile(firstTokens, 0.95),
    gapP95Ms: getQuantile(gaps, 0.95),
    hitPart: hits / sent,
  };
}

/** Prints what each strategy reaches at several loads. */
export function runRouting(): void {
  [20, 26, 30].forEach((requestsPerSecond) => {
    STRATEGIES.forEach((strategy) => {
      const { firstTokenP95Ms, gapP95Ms, hitPart, onTime } = runStrategy(
        strategy,
        requestsPerSecond,
        1,
      );
      const name = `${strategy.name}_at_${requestsPerSecond}`;
      printFigure(`first_token_p95_${name}`, firstTokenP95Ms, 'ms', FIRST_TOKEN_TARGET_MS);
      printFigure(`token_gap_p95_${name}`, gapP95Ms, 'ms', GAP_TARGET_MS);
      printFigure(`on_time_${name}`, onTime * 100, '%', 95);
      printFigure(`cache_hits_${name}`, hitPart * 100, '%');
    });
  });
}
