/**
 * Rebalances the token slices of active workspaces. A full slice loses its refill while the slice of
 * another VM may be empty, so a VM whose slice is below the mean borrows from VMs whose slices are
 * estimated to be above it, before a request needs the tokens.
 */
import { getSliceTokens } from '../state/tokenSlice.js';
import type { Workspace } from '../state/types.js';
import { createBorrowCommands, findLenders, type LoanPlan } from './borrowing.js';
import type { Command } from './events.js';
import type { VmState } from './vmState.js';
import { getSlice, getSliceCapacity, isShareUsable } from './slices.js';

/** Limit on the loans per round, so that the cost to a VM does not grow with its workspaces. */
const MAX_LOANS_PER_ROUND = 4;
/** The smallest deficit relative to the mean, as a fraction of the capacity, that is worth a loan. */
const MIN_DEFICIT_FRACTION = 0.1;

/** Plans loans that raise this VM's slice to the mean, from lenders above the mean. */
function planRebalancing(
  state: VmState,
  workspace: Workspace,
  maxLoans: number,
  nowMs: number,
): LoanPlan[] {
  const slice = getSlice(state, workspace, nowMs);
  const ownTokens = getSliceTokens(slice, nowMs);
  const lenders = findLenders(state, workspace, nowMs);
  const sumTokens = lenders.reduce((sum, lender) => sum + lender.estimatedTokens, ownTokens);
  const meanTokens = sumTokens / (lenders.length + 1);
  let deficitTokens = meanTokens - ownTokens;
  if (deficitTokens < getSliceCapacity(slice) * MIN_DEFICIT_FRACTION) {
    return [];
  }
  const plans: LoanPlan[] = [];
  const fullestFirst = lenders.toSorted((x, y) => y.estimatedTokens - x.estimatedTokens);
  for (const { estimatedTokens, member } of fullestFirst.slice(0, maxLoans)) {
    const tokens = Math.floor(Math.min(deficitTokens, estimatedTokens - meanTokens));
    if (tokens < 1) {
      break;
    }
    plans.push({ member, tokens });
    deficitTokens -= tokens;
  }
  return plans;
}

/** Requests loans for the workspaces that had requests on this VM since the last round. */
export function rebalanceSlices(state: VmState, nowMs: number): Command[] {
  const names = [...state.usedWorkspaces];
  state.usedWorkspaces.clear();
  if (!isShareUsable(state)) {
    return [];
  }
  const commands: Command[] = [];
  for (const name of names) {
    if (commands.length >= MAX_LOANS_PER_ROUND) {
      // Left for the next round.
      state.usedWorkspaces.add(name);
      continue;
    }
    const workspace = state.configuration?.workspacesByName.get(name);
    if (workspace !== undefined) {
      const plans = planRebalancing(state, workspace, MAX_LOANS_PER_ROUND - commands.length, nowMs);
      commands.push(...createBorrowCommands(state, null, workspace, plans, nowMs));
    }
  }
  return commands;
}
