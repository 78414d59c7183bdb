/**
 * The plan of models on engines over simulated days: demand moves by whole models, engines take the time that
 * drops and loads take, and what is late or waits too long is lost. A change of the plan can be tried over
 * many days in seconds; the users' bench confirms it.
 *
 * Work flows as tokens a second, not as requests, and VMs see what engines hold without errors; so the
 * figures compare plans, and say nothing of a deployment.
 */
import {
  LOAD_TIMES,
  NO_DEMAND,
  planNextStep,
  type PlanStep,
  WeightSource,
} from '../src/coordination/entry/placementPlanner.js';
import type { EngineModel, EngineProfile } from '../src/state/entry/deployment.js';
import { createRandom, nextRandom, nextRandomInt, type RandomState } from '../src/state/random.js';
import { printFigure } from './figures.js';

/** One kind of deployment. Sizes are those of the two sites of the users; `slow` moves demand less often. */
interface Fleet {
  readonly name: string;
  readonly engines: number;
  readonly urgentPerSecond: number;
  readonly patientPerSecond: number;
  readonly loadsPerSecond: number;
  readonly shiftSeconds: number;
}

const FLEETS: readonly Fleet[] = [
  {
    name: '8 engines',
    engines: 8,
    urgentPerSecond: 30,
    patientPerSecond: 3,
    loadsPerSecond: 1.6,
    shiftSeconds: 9,
  },
  {
    name: '13 engines',
    engines: 13,
    urgentPerSecond: 50,
    patientPerSecond: 5,
    loadsPerSecond: 2.2,
    shiftSeconds: 9,
  },
  {
    name: '8 engines, slow shifts',
    engines: 8,
    urgentPerSecond: 30,
    patientPerSecond: 3,
    loadsPerSecond: 1.6,
    shiftSeconds: 25,
  },
];

const DAYS = 24;
const DAY_SECONDS = 40;
const STEP_SECONDS = 0.1;
const STEPS_OF_PLAN = 2;
const MAX_ORDERS = 4;
const URGENT_MODELS = 10;
const PATIENT_MODELS = 10;
/** Parts of the urgent demand that the four busiest models have, from the users' site files. */
const HOT_PARTS = [0.53, 0.2, 0.15, 0.12];
const SHIFTED_MODELS = 2;
/** Part of the demand that moves in a second of a shift. */
const SHIFT_PER_SECOND = 0.15;
const REQUEST_TOKENS = 1_500;
/** Weight of a patient model's requests, and their waits in seconds, against urgent ones. */
const URGENT = { weight: 1.7, credit: 2.2, waitSeconds: 1 };
const PATIENT = { weight: 0.33, credit: 1.3, waitSeconds: 4.5 };
const DECAY_SECONDS = 3;
/** Age of the demand that the controller knows: a round of reports. */
const DELAY_STEPS = 5;
/** Load of an engine at which all its streams are late, from the logs of a quiet day. */
const LATE_LOAD = 20_000;
/** Time until VMs know what an engine holds. */
const NEWS_SECONDS = 0.7;
const SETTLE_SECONDS = 2;
const INTENT_SECONDS = 8;
const DRAIN_SECONDS = 2.5;
const HOST_COPIES = 2;
const DISK_COPIES = 6;
const MODEL: Omit<EngineModel, 'name' | 'memoryMb'> = {
  storeLoadMs: 6_000,
  diskLoadMs: 1_250,
  hostLoadMs: 600,
  adapterCount: 0,
  adapterMemoryMb: 0,
};
const MODEL_SIZES_MB = [65_500, 72_700];

interface SimulatedEngine {
  readonly id: string;
  /** Models with the time from which VMs use them; infinite once a drop is ordered. */
  readonly held: Map<string, number>;
  readonly copies: string[];
  order: { readonly step: PlanStep; readonly untilSeconds: number } | null;
  intent: { readonly model: string; readonly untilSeconds: number } | null;
  changedAtSeconds: number;
}

interface Day {
  readonly fleet: Fleet;
  readonly random: RandomState;
  readonly profile: EngineProfile;
  readonly engines: readonly SimulatedEngine[];
  /** Part of the urgent demand of each model, now and after the shift under way. */
  readonly parts: Map<string, number>;
  goal: Map<string, number>;
  nextShiftSeconds: number;
  /** Measured demand, as the VMs count it, and what it was at each step. */
  readonly demand: Map<string, number>;
  readonly history: ReadonlyMap<string, number>[];
  /** Seconds for which each model has been asked for in vain. */
  readonly missingSeconds: Map<string, number>;
  storeLoadsAt: number[];
  loads: number;
  lost: number;
  total: number;
}

const urgentNames = Array.from({ length: URGENT_MODELS }, (_, i) => `u${i}`);
const patientNames = Array.from({ length: PATIENT_MODELS }, (_, i) => `p${i}`);

function getKind(model: string): typeof URGENT {
  return model.startsWith('u') ? URGENT : PATIENT;
}

function shuffle<T>(random: RandomState, values: readonly T[]): T[] {
  const rest = [...values];
  return values.map(() => rest.splice(nextRandomInt(random, rest.length), 1)[0]!);
}

function createProfile(fleet: Fleet): EngineProfile {
  const models = [...urgentNames, ...patientNames].map((name, i): [string, EngineModel] => [
    name,
    { ...MODEL, name, memoryMb: MODEL_SIZES_MB[i % MODEL_SIZES_MB.length]! },
  ]);
  return {
    maxConcurrentRequests: 64,
    kvCapacityTokens: 150_000,
    memoryMb: 200_000,
    adapterSlots: 8,
    loadsPerSecond: fleet.loadsPerSecond,
    modelsByName: new Map(models),
  };
}

/** Places the busiest model on half of the engines, and the others once, two on each engine. */
function placeFirst(day: Day, hot: readonly string[]): void {
  const { engines, random } = day;
  const copies = engines.slice(0, engines.length / 2).map(() => hot[0]!);
  const others = [...urgentNames, ...patientNames].filter((name) => !hot.includes(name));
  const wanted = [...copies, ...hot.slice(1), ...shuffle(random, others)];
  wanted.forEach((model, i) => {
    const engine = engines[i % engines.length]!;
    if (engine.held.size < 2) {
      engine.held.set(model, 0);
      engine.copies.push(model);
    }
  });
}

function createDay(fleet: Fleet, seed: number): Day {
  const random = createRandom(seed);
  const hot = shuffle(random, urgentNames).slice(0, HOT_PARTS.length);
  const parts = new Map(hot.map((name, i) => [name, HOT_PARTS[i]!]));
  const engines = Array.from({ length: fleet.engines }, (_, i): SimulatedEngine => ({
    id: `e${i}`,
    held: new Map(),
    copies: [],
    order: null,
    intent: null,
    changedAtSeconds: Number.NEGATIVE_INFINITY,
  }));
  const day: Day = {
    fleet,
    random,
    profile: createProfile(fleet),
    engines,
    parts,
    goal: new Map(parts),
    nextShiftSeconds: 1 + nextRandom(random) * 4,
    demand: new Map(),
    history: [],
    missingSeconds: new Map(),
    storeLoadsAt: [],
    loads: 0,
    lost: 0,
    total: 0,
  };
  placeFirst(day, hot);
  return day;
}

function moveDemand(day: Day, atSeconds: number): void {
  const { fleet, parts, random } = day;
  if (atSeconds >= day.nextShiftSeconds) {
    const leaving = shuffle(random, [...day.goal.keys()]).slice(0, SHIFTED_MODELS);
    const coming = shuffle(
      random,
      urgentNames.filter((name) => !day.goal.has(name)),
    );
    leaving.forEach((name, i) => {
      day.goal.set(coming[i]!, day.goal.get(name)!);
      day.goal.delete(name);
    });
    day.nextShiftSeconds = atSeconds + fleet.shiftSeconds * (0.5 + nextRandom(random));
  }
  const step = SHIFT_PER_SECOND * STEP_SECONDS;
  urgentNames.forEach((name) => {
    const now = parts.get(name) ?? 0;
    const change = (day.goal.get(name) ?? 0) - now;
    parts.set(name, now + Math.max(-step, Math.min(step, change)));
  });
}

function getRequestsPerSecond({ fleet, parts }: Day, model: string): number {
  return getKind(model) === URGENT
    ? fleet.urgentPerSecond * (parts.get(model) ?? 0)
    : fleet.patientPerSecond / PATIENT_MODELS;
}

/** Draws a number of requests around a mean, with the spread of independent callers. */
function drawRequests(random: RandomState, mean: number): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = nextRandom(random); product > limit; product *= nextRandom(random)) {
    count += 1;
  }
  return count;
}

function findUsers(day: Day, model: string, atSeconds: number): SimulatedEngine[] {
  return day.engines.filter(
    ({ held }) => (held.get(model) ?? Number.POSITIVE_INFINITY) <= atSeconds,
  );
}

/** Lets requests come, and counts what waits too long or is late. */
function serve(day: Day, atSeconds: number): void {
  const loads = new Map(day.engines.map((engine) => [engine, { all: 0, urgent: 0 }]));
  [...urgentNames, ...patientNames].forEach((model) => {
    const { credit, waitSeconds } = getKind(model);
    const perSecond = getRequestsPerSecond(day, model);
    const tokens = drawRequests(day.random, perSecond * STEP_SECONDS) * REQUEST_TOKENS;
    const decayed = (day.demand.get(model) ?? 0) * Math.exp(-STEP_SECONDS / DECAY_SECONDS);
    day.demand.set(model, decayed + tokens / DECAY_SECONDS);
    const worth = perSecond * STEP_SECONDS * REQUEST_TOKENS * credit;
    day.total += worth;
    const users = findUsers(day, model, atSeconds);
    const missingSeconds = users.length > 0 ? 0 : (day.missingSeconds.get(model) ?? 0);
    const isAsked = missingSeconds > 0 || tokens > 0;
    day.missingSeconds.set(
      model,
      users.length === 0 && isAsked ? missingSeconds + STEP_SECONDS : 0,
    );
    day.lost += missingSeconds > waitSeconds ? worth : 0;
    users.forEach((engine) => {
      const load = loads.get(engine)!;
      const part = (perSecond * REQUEST_TOKENS) / users.length;
      load.all += part;
      load.urgent += getKind(model) === URGENT ? part : 0;
    });
  });
  loads.forEach(({ all, urgent }) => {
    const latePart = Math.min(1, (all / LATE_LOAD) ** 2);
    day.lost += urgent * latePart * URGENT.credit * STEP_SECONDS;
  });
}

function endOrders(day: Day, atSeconds: number): void {
  day.engines.forEach((engine) => {
    if (engine.order === null || engine.order.untilSeconds > atSeconds) {
      return;
    }
    const { isLoad, model } = engine.order.step;
    engine.order = null;
    engine.changedAtSeconds = atSeconds;
    if (!isLoad) {
      engine.held.delete(model);
      return;
    }
    engine.held.set(model, atSeconds + NEWS_SECONDS);
    engine.copies.splice(
      0,
      engine.copies.length,
      model,
      ...engine.copies.filter((m) => m !== model),
    );
    engine.copies.splice(DISK_COPIES);
  });
}

function carryOut(day: Day, step: PlanStep, atSeconds: number): void {
  const engine = day.engines.find(({ id }) => id === step.backendId)!;
  const { isLoad, model, source, targetModel } = step;
  if (isLoad) {
    day.loads += 1;
    day.storeLoadsAt.push(...(source === WeightSource.Store ? [atSeconds] : []));
    const seconds =
      LOAD_TIMES[source ?? WeightSource.Store](day.profile.modelsByName.get(model)!) / 1000;
    engine.order = { step, untilSeconds: atSeconds + seconds };
    engine.intent = null;
    return;
  }
  const streams = getRequestsPerSecond(day, model) / findUsers(day, model, atSeconds).length;
  const isInUse = nextRandom(day.random) < streams * DRAIN_SECONDS;
  engine.order = { step, untilSeconds: atSeconds + (isInUse ? DRAIN_SECONDS : 0) };
  engine.held.set(model, Number.POSITIVE_INFINITY);
  engine.intent = { model: targetModel, untilSeconds: atSeconds + INTENT_SECONDS };
}

function plan(day: Day, atSeconds: number): void {
  const { fleet, missingSeconds, profile } = day;
  const known = day.history.at(-DELAY_STEPS);
  if (known === undefined) {
    return;
  }
  day.storeLoadsAt = day.storeLoadsAt.filter((loadAt) => atSeconds - loadAt < 5);
  const demands = new Map(
    [...known.entries()].map(([model, tokensPerSecond]) => [
      model,
      {
        ...NO_DEMAND,
        tokensPerSecond,
        valuePerSecond: tokensPerSecond * getKind(model).weight,
        waitingRequests: (missingSeconds.get(model) ?? 0) > STEP_SECONDS ? 1 : 0,
      },
    ]),
  );
  const urgencyWeights = new Map([...known.keys()].map((model) => [model, getKind(model).weight]));
  for (let i = 0; i < MAX_ORDERS; i += 1) {
    const step = planNextStep({
      profile,
      demands,
      urgencyWeights,
      mayLoadFromStore: day.storeLoadsAt.length < Math.floor(fleet.loadsPerSecond * 5),
      engines: day.engines.map(({ changedAtSeconds, copies, held, id, intent, order }) => ({
        backendId: id,
        models: new Map([...held.keys()].map((model) => [model, new Set<string>()])),
        loadingModel: order?.step.isLoad === true ? order.step.model : null,
        unloadingModel: order?.step.isLoad === false ? order.step.model : null,
        reservedModel: intent !== null && intent.untilSeconds > atSeconds ? intent.model : null,
        isCooldownOver: atSeconds - changedAtSeconds > SETTLE_SECONDS,
        unconfirmedOrders: [],
        hostCopies: copies.slice(0, HOST_COPIES),
        diskCopies: copies,
        canTakeOrder: order === null,
      })),
    });
    if (step === null) {
      return;
    }
    carryOut(day, step, atSeconds);
  }
}

/** Plays one day; the part of the worth that is served on time, and the loads. */
function playDay(fleet: Fleet, seed: number): { readonly served: number; readonly loads: number } {
  const day = createDay(fleet, seed);
  const steps = Math.round(DAY_SECONDS / STEP_SECONDS);
  for (let i = 0; i < steps; i += 1) {
    const atSeconds = i * STEP_SECONDS;
    moveDemand(day, atSeconds);
    serve(day, atSeconds);
    endOrders(day, atSeconds);
    day.history.push(new Map(day.demand));
    if (i % STEPS_OF_PLAN === 0) {
      plan(day, atSeconds);
    }
  }
  return { served: 1 - day.lost / day.total, loads: day.loads };
}

/** Prints the mean over the days of each fleet, with the standard error of the served part. */
export function runPlacement(): void {
  FLEETS.forEach((fleet) => {
    const days = Array.from({ length: DAYS }, (_, i) => playDay(fleet, i + 1));
    const mean = days.reduce((sum, { served }) => sum + served, 0) / DAYS;
    const variance = days.reduce((sum, { served }) => sum + (served - mean) ** 2, 0) / DAYS;
    const loads = days.reduce((sum, day) => sum + day.loads, 0) / DAYS;
    printFigure(`placement, ${fleet.name}: served on time`, mean, 'part');
    printFigure(`placement, ${fleet.name}: standard error`, Math.sqrt(variance / DAYS), 'part');
    printFigure(`placement, ${fleet.name}: loads a day`, loads, 'loads');
  });
}
