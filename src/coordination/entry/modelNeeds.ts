/**
 * Aggregates the demand for the models of a service over all VMs, for the placement by the
 * controller.
 */
import { getVariantKey } from '../../state/entry/backends.js';
import type { ForwardService } from '../../state/entry/deployment.js';
import { getDemand, listDemands } from './demand.js';
import { countWaiting } from './forwarding.js';
import { type ModelNeed, NO_NEED } from './placementPlan.js';
import type { EntryState } from './state.js';

/** Reports older than this are left out of the demand. */
const REPORT_MAX_AGE_MS = 5_000;

/** Records the highest urgency seen for a model, which is kept after its demand has decayed. */
function recordUrgencyWeight(state: EntryState, key: string, demand: ModelNeed): void {
  const { timeWeights } = state.placement;
  const weight = demand.valuePerSecond / Math.max(1, demand.tokensPerSecond);
  timeWeights.set(key, Math.max(timeWeights.get(key) ?? 0, weight));
}

/** Returns the urgency weights of one service, by model. */
export function listTimeWeights(
  state: EntryState,
  service: ForwardService,
): ReadonlyMap<string, number> {
  const prefix = `${service.name} `;
  return new Map(
    [...state.placement.timeWeights.entries()]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, weight]) => [key.slice(prefix.length), weight]),
  );
}

/**
 * Sums the demand for each model of a service over all VMs. Demand for an adapter counts for its
 * model.
 */
export function collectNeeds(
  state: EntryState,
  service: ForwardService,
  nowMs: number,
): {
  readonly needs: ReadonlyMap<string, ModelNeed>;
  readonly variants: ReadonlySet<string>;
} {
  const demands = new Map<string, { -readonly [K in keyof ModelNeed]: ModelNeed[K] }>();
  const variants = new Set<string>();
  const add = (variant: string, demand: ModelNeed): void => {
    const { tokensPerSecond, valuePerSecond, waitingRequests } = demand;
    const [model = '', adapter] = variant.split('/');
    const total = demands.get(model) ?? { ...NO_NEED };
    recordUrgencyWeight(state, `${service.name} ${model}`, demand);
    total.tokensPerSecond += tokensPerSecond;
    total.valuePerSecond += valuePerSecond;
    total.waitingRequests += waitingRequests;
    demands.set(model, total);
    if (adapter !== undefined && tokensPerSecond > 0) {
      variants.add(variant);
    }
  };
  const prefix = `${service.name} `;
  const waiting = countWaiting(state);
  listDemands(state.modelDemand, nowMs)
    .filter(({ name }) => name.startsWith(prefix))
    .forEach(({ name, tokensPerSecond }) =>
      add(name.slice(prefix.length), {
        tokensPerSecond,
        valuePerSecond: getDemand(state.modelValue, name, nowMs),
        waitingRequests: waiting.get(name) ?? 0,
      }),
    );
  state.peers.forEach(({ heardAtMs, report }) => {
    if (nowMs - heardAtMs < REPORT_MAX_AGE_MS) {
      report.modelDemands
        .filter((demand) => demand.service === service.name)
        .forEach((demand) => add(getVariantKey(demand.model, demand.adapter), demand));
    }
  });
  return { needs: demands, variants };
}
