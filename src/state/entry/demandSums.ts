/**
 * Sums demands that several VMs have reported.
 */
import type { Lender, ModelDemand, WorkspaceDemand } from './reports.js';

/** Sums demands for rates by workspace, and joins their lenders. */
export function sumWorkspaceDemands(demands: readonly WorkspaceDemand[]): WorkspaceDemand[] {
  const sums = new Map<string, { tokensPerSecond: number; lenders: Lender[] }>();
  demands.forEach(({ lenders, name, tokensPerSecond }) => {
    const sum = sums.get(name) ?? { tokensPerSecond: 0, lenders: [] };
    sum.tokensPerSecond += tokensPerSecond;
    sum.lenders.push(...lenders);
    sums.set(name, sum);
  });
  return [...sums.entries()].map(([name, sum]) => ({ name, ...sum }));
}

/** Sums demands for models by service, model, adapter and software version. */
export function sumModelDemands(demands: readonly ModelDemand[]): ModelDemand[] {
  const sums = new Map<string, { -readonly [K in keyof ModelDemand]: ModelDemand[K] }>();
  demands.forEach((demand) => {
    const key = `${demand.service} ${demand.model} ${demand.adapter ?? ''} ${demand.softwareVersion ?? ''}`;
    const sum = sums.get(key);
    if (sum === undefined) {
      sums.set(key, { ...demand });
    } else {
      sum.tokensPerSecond += demand.tokensPerSecond;
      sum.valuePerSecond += demand.valuePerSecond;
      sum.waitingRequests += demand.waitingRequests;
    }
  });
  return [...sums.values()];
}
