/**
 * Limits the retries of each service with a token bucket. Each VM holds its own share of the budget of all VMs:
 * a fixed ratio of its requests, and its share of the fixed reserve.
 */
import { countVmsSharingLimits } from '../liveVms.js';
import { type EntryState, type RetryBudget } from '../state.js';

/** Fraction of the configured budget that is used; the rest covers VMs that restart with a new reserve. */
const BUDGET_FRACTION = 0.6;

/** Returns the capacity of this VM's bucket: its share of the reserve. */
function getCapacity(state: EntryState): number {
  return (state.policy.retryReserve * BUDGET_FRACTION) / countVmsSharingLimits(state);
}

/** Returns the bucket of a service, and creates it on first use. */
function getBudget(state: EntryState, service: string): RetryBudget {
  const existing = state.retryBudgets.get(service);
  if (existing !== undefined) {
    return existing;
  }
  // Starts half full: before a restart, the process may have spent the other half in the same window.
  const budget = { tokens: getCapacity(state) / 2 };
  state.retryBudgets.set(service, budget);
  return budget;
}

/** Adds the fraction of a retry that one admitted request is worth. */
export function depositRetry(state: EntryState, service: string): void {
  const budget = getBudget(state, service);
  const increased = budget.tokens + state.policy.retryRatio * BUDGET_FRACTION;
  budget.tokens = Math.min(increased, getCapacity(state));
}

/** Takes one retry from the budget; returns false if none is left. */
export function withdrawRetry(state: EntryState, service: string): boolean {
  const budget = getBudget(state, service);
  if (budget.tokens < 1) {
    return false;
  }
  budget.tokens -= 1;
  return true;
}
