/**
 * How often requests of a service may be sent to a backend server again. Each VM keeps its own part of
 * the budget that all VMs share: a part of its requests, and its share of the fixed reserve.
 */
import { countSharingVms, type EntryState, type RetryBudget } from './state.js';

/** Part of the budget that is used; the rest covers VMs that start anew with a fresh reserve. */
const SAFETY = 0.6;

/** Retries that one VM may save up: its share of the reserve. */
function getReserve(state: EntryState): number {
  return (state.policy.retryReserve * SAFETY) / countSharingVms(state);
}

function getBudget(state: EntryState, service: string): RetryBudget {
  const known = state.retryBudgets.get(service);
  if (known !== undefined) {
    return known;
  }
  // Half of the reserve: a process that restarts may have spent the other half in the same window.
  const budget = { tokens: getReserve(state) / 2 };
  state.retryBudgets.set(service, budget);
  return budget;
}

/** Notes the first dispatch of a request, which earns a part of a retry. */
export function earnRetry(state: EntryState, service: string): void {
  const budget = getBudget(state, service);
  const earned = budget.tokens + state.policy.retryRatio * SAFETY;
  budget.tokens = Math.min(earned, getReserve(state));
}

/** Takes one retry, or returns false if none is left. */
export function takeRetry(state: EntryState, service: string): boolean {
  const budget = getBudget(state, service);
  if (budget.tokens < 1) {
    return false;
  }
  budget.tokens -= 1;
  return true;
}
