/**
 * Answers peers' requests to borrow tokens of a workspace.
 */
import { getSliceTokens, lendTokens } from '../state/tokenSlice.js';
import { type Command, CommandKind, type EventKind, type EventOf } from './events.js';
import type { VmState } from './vmState.js';
import { getSlice, isShareUsable } from './slices.js';

/** Lends up to the tokens in this VM's slice, or nothing while its share is suspended. */
export function handleLoanRequested(
  state: VmState,
  event: EventOf<typeof EventKind.LoanRequested>,
  nowMs: number,
): Command[] {
  const { loanId, spendWithinMs, tokens } = event;
  const workspace = state.configuration?.workspacesByName.get(event.workspace);
  if (workspace === undefined || !isShareUsable(state)) {
    return [{ kind: CommandKind.ReplyToLoanRequest, loanId, grantedTokens: 0, leftTokens: 0 }];
  }
  state.usedWorkspaces.add(workspace.name);
  const slice = getSlice(state, workspace, nowMs);
  const grantedTokens = lendTokens(slice, tokens, spendWithinMs, nowMs);
  const leftTokens = getSliceTokens(slice, nowMs);
  return [{ kind: CommandKind.ReplyToLoanRequest, loanId, grantedTokens, leftTokens }];
}
