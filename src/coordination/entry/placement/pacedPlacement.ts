/**
 * Collects what the replicas of a paced service are planned from: paces and loads that engines have stated, what was loaded and
 * requested recently, and the learned time of a slot for a token.
 */
import type { EngineProfile } from '../../../state/entry/deployment.js';
import type { EntryState } from '../state.js';
import { addDemandSample, estimateDemand } from './demandTrend.js';
import type { PacedPlacement } from './placementState.js';
import type {
  EngineView,
  ModelDemandTotals,
  PacedEngineView,
  PacedPlanInput,
} from './planInput.js';
import { isRequested } from './replicaEviction.js';
import type { ReplicaPlan } from './replicaPlan.js';
import { getSlotSecondsPerToken, updateSlotTime } from './slotTime.js';

/** Stated loads older than this do not count for the time of a slot: most requests have ended since. */
const MAX_LOAD_AGE_MS = 5_000;
/** A pace older than this is not taken into account: machines are slow for some seconds at a time. */
const MAX_PACE_AGE_MS = 15_000;
/**
 * A requested model that got no engine for this long gets its turn, in place of the last replica of one that is not busy: about
 * the longest time for which requests wait. A shorter one would have models displace each other as often as they are loaded.
 */
const TURN_MS = 20_000;
/**
 * Time between two plans: a plan without steps took 1.3 ms of processor time with 78 engines and 25 to 30 ms with 3,400, so that it takes
 * less than 1% of a core at any size.
 */
const MIN_PLAN_INTERVAL_MS = 100;
const PLAN_INTERVAL_MS_PER_ENGINE = 1;
/** A model that was not requested for this long is forgotten; those are all evicted before others. */
const REQUEST_MEMORY_MS = 300_000;

/** A service, its engines and the demand in one round. */
export interface PacedRound {
  readonly service: string;
  readonly profile: EngineProfile;
  readonly views: readonly EngineView[];
  readonly demands: ReadonlyMap<string, ModelDemandTotals>;
  readonly urgencyWeights: ReadonlyMap<string, number>;
  readonly storeLoads: number;
  readonly storeLoadsPerWindow: number;
}

function getPacedPlacement({ placement }: EntryState, service: string): PacedPlacement {
  const existing = placement.pacedServices.get(service);
  const paced = existing ?? {
    plannedAtMs: Number.NEGATIVE_INFINITY,
    slotTime: undefined,
    demandSamples: [],
    requestedAtMs: new Map(),
    missingSinceMs: new Map(),
    missingReplicas: 0,
  };
  placement.pacedServices.set(service, paced);
  return paced;
}

function createPacedView(state: EntryState, view: EngineView, nowMs: number): PacedEngineView {
  const load = state.backends.get(view.backendId)?.load ?? null;
  const isPaceKnown = load !== null && load.pace > 0 && nowMs - load.seenAtMs < MAX_PACE_AGE_MS;
  const kept = [...(state.placement.engines.get(view.backendId)?.keptUntilMs ?? [])];
  return {
    ...view,
    failureDomain: state.backends.get(view.backendId)?.entry.failureDomain ?? '',
    pace: isPaceKnown ? load.pace : 1,
    keptModels: new Set(kept.filter(([, untilMs]) => untilMs > nowMs).map(([model]) => model)),
  };
}

/**
 * Returns the requests that run on each engine with a recent statement, at the usual pace. Those in its queue count as well, up to as
 * many as run: while it is full, others are rejected and show only in the demand.
 */
function listRunning(state: EntryState, views: readonly EngineView[], nowMs: number): number[] {
  return views.flatMap(({ backendId }) => {
    const load = state.backends.get(backendId)?.load ?? null;
    const isRecent = load !== null && nowMs - load.seenAtMs < MAX_LOAD_AGE_MS;
    return isRecent && load.pace > 0
      ? [(load.running + Math.min(load.running, load.waiting)) / load.pace]
      : [];
  });
}

function recordRequested(
  { requestedAtMs }: PacedPlacement,
  demands: ReadonlyMap<string, ModelDemandTotals>,
  nowMs: number,
): void {
  demands.forEach((demand, model) => {
    if (isRequested(demand)) {
      requestedAtMs.set(model, nowMs);
    }
  });
  [...requestedAtMs]
    .filter(([, atMs]) => nowMs - atMs > REQUEST_MEMORY_MS)
    .forEach(([model]) => requestedAtMs.delete(model));
}

/** Returns the demand for each model as it is estimated from the last seconds, and records the demand that is reported now. */
function updateExpectedDemand(
  { policy }: EntryState,
  paced: PacedPlacement,
  demands: ReadonlyMap<string, ModelDemandTotals>,
  nowMs: number,
): ReadonlyMap<string, number> {
  const reported = new Map(
    [...demands].map(([model, { tokensPerSecond }]) => [model, tokensPerSecond]),
  );
  const sample = { atMs: nowMs, tokensPerSecond: reported };
  paced.demandSamples = addDemandSample(paced.demandSamples, sample);
  return new Map(
    [...reported].map(([model, tokensPerSecond]) => {
      const now = { atMs: nowMs, tokensPerSecond };
      return [model, estimateDemand(paced.demandSamples, model, now, policy.modelDecayMs)];
    }),
  );
}

/** Returns since when each model has been missing. */
export function updateMissingSince(
  previous: ReadonlyMap<string, number>,
  missingModels: readonly string[],
  nowMs: number,
): ReadonlyMap<string, number> {
  return new Map(missingModels.map((model) => [model, previous.get(model) ?? nowMs]));
}

/** Returns the models whose turn it is. */
export function listOverdueModels(
  missingSinceMs: ReadonlyMap<string, number>,
  nowMs: number,
): ReadonlySet<string> {
  const overdue = [...missingSinceMs].filter(([, sinceMs]) => nowMs - sinceMs >= TURN_MS);
  return new Set(overdue.map(([model]) => model));
}

/** Returns whether the next plan is due; most rounds that follow an engine's report are left out. */
export function isPlanDue(
  state: EntryState,
  service: string,
  engineCount: number,
  nowMs: number,
): boolean {
  const { plannedAtMs } = getPacedPlacement(state, service);
  return nowMs - plannedAtMs >= MIN_PLAN_INTERVAL_MS + engineCount * PLAN_INTERVAL_MS_PER_ENGINE;
}

/** Returns the input of the plan, and records what it is learned from. */
export function createPacedInput(
  state: EntryState,
  { service, views, ...round }: PacedRound,
  nowMs: number,
): PacedPlanInput {
  const paced = getPacedPlacement(state, service);
  paced.plannedAtMs = nowMs;
  recordRequested(paced, round.demands, nowMs);
  const runs = {
    engineCount: views.length,
    runningByEngine: listRunning(state, views, nowMs),
    tokensPerSecond: [...round.demands.values()].reduce(
      (sum, { tokensPerSecond }) => sum + tokensPerSecond,
      0,
    ),
  };
  paced.slotTime = updateSlotTime(paced.slotTime, runs, nowMs);
  return {
    ...round,
    engines: views.map((view) => createPacedView(state, view, nowMs)),
    expectedTokensPerSecond: updateExpectedDemand(state, paced, round.demands, nowMs),
    slotSecondsPerToken: getSlotSecondsPerToken(paced.slotTime),
    requestedAtMs: paced.requestedAtMs,
    overdueModels: listOverdueModels(paced.missingSinceMs, nowMs),
  };
}

/** Records what the plan found. */
export function recordPlan(
  state: EntryState,
  service: string,
  { missingModels, missingReplicas }: ReplicaPlan,
  nowMs: number,
): void {
  const paced = getPacedPlacement(state, service);
  paced.missingReplicas = missingReplicas;
  paced.missingSinceMs = updateMissingSince(paced.missingSinceMs, missingModels, nowMs);
}

/** Returns the replicas that models of all paced services lack; 0 if this VM is not the controller. */
export function countMissingReplicas({ placement }: EntryState): number {
  return [...placement.pacedServices.values()].reduce(
    (sum, { missingReplicas }) => sum + missingReplicas,
    0,
  );
}
