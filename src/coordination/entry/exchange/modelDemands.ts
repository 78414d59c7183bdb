/**
 * Aggregates the demand for the models of a service over all VMs, for the placement by the
 * controller.
 */
import { getVariantKey } from '../../../state/entry/backends.js';
import type { ForwardService } from '../../../state/entry/deployment.js';
import type { ModelDemand } from '../../../state/entry/reports.js';
import { listFleetModelDemands } from './fleetDemands.js';
import { type ModelDemandTotals, NO_DEMAND } from '../placement/planInput.js';
import type { EntryState } from '../state.js';

/** The sums while they are made. */
type MutableTotals = {
  -readonly [K in Exclude<keyof ModelDemandTotals, 'waitingByVersion'>]: ModelDemandTotals[K];
} & { readonly waitingByVersion: Map<string, number> };

/** Records the highest urgency seen for a model, which is kept after its demand has decayed. */
function recordUrgencyWeight(state: EntryState, key: string, demand: ModelDemand): void {
  const { urgencyWeights } = state.placement;
  const weight = demand.valuePerSecond / Math.max(1, demand.tokensPerSecond);
  urgencyWeights.set(key, Math.max(urgencyWeights.get(key) ?? 0, weight));
}

/** Returns the urgency weights of one service, by model. */
export function getUrgencyWeights(
  state: EntryState,
  service: ForwardService,
): ReadonlyMap<string, number> {
  const prefix = `${service.name} `;
  return new Map(
    [...state.placement.urgencyWeights.entries()]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, weight]) => [key.slice(prefix.length), weight]),
  );
}

/**
 * Sums the demand for each model of a service over all VMs. Demand for an adapter counts for its
 * model.
 */
export function collectModelDemands(
  state: EntryState,
  service: ForwardService,
  nowMs: number,
): {
  readonly demands: ReadonlyMap<string, ModelDemandTotals>;
  readonly variants: ReadonlySet<string>;
} {
  const demands = new Map<string, MutableTotals>();
  const variants = new Set<string>();
  const add = (variant: string, demand: ModelDemand): void => {
    const { softwareVersion, tokensPerSecond, valuePerSecond, waitingRequests } = demand;
    const [model = '', adapter] = variant.split('/');
    const total = demands.get(model) ?? { ...NO_DEMAND, waitingByVersion: new Map() };
    recordUrgencyWeight(state, `${service.name} ${model}`, demand);
    total.tokensPerSecond += tokensPerSecond;
    total.valuePerSecond += valuePerSecond;
    total.waitingRequests += waitingRequests;
    if (softwareVersion !== null) {
      const { waitingByVersion } = total;
      const known = waitingByVersion.get(softwareVersion) ?? 0;
      waitingByVersion.set(softwareVersion, known + waitingRequests);
    }
    demands.set(model, total);
    if (adapter !== undefined && tokensPerSecond > 0) {
      variants.add(variant);
    }
  };
  listFleetModelDemands(state, nowMs)
    .filter((demand) => demand.service === service.name)
    .forEach((demand) => add(getVariantKey(demand.model, demand.adapter), demand));
  return { demands, variants };
}
