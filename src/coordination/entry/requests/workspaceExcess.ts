/**
 * Finds the requests by which a workspace exceeds its usual amount. They give way to the requests of the other workspaces while
 * servers are busy.
 */
import {
  createUsage,
  getExcessFraction,
  updateUsage,
  type WorkspaceUsage,
} from '../../../state/entry/workspaceUsage.js';
import { nextRandom } from '../../../state/random.js';
import { getDemand } from '../exchange/demand.js';
import { getOthersDemand } from '../exchange/othersDemand.js';
import { isPacedService } from '../servers/serverLoads.js';
import type { EntryState, ForwardRecord } from '../state.js';

/** Shortest time between two samples of a workspace's demand. */
const SAMPLE_INTERVAL_MS = 500;

function sampleUsage(state: EntryState, workspace: string, nowMs: number): WorkspaceUsage {
  const known = state.workspaceUsage.get(workspace);
  if (known !== undefined && nowMs - known.sampledAtMs < SAMPLE_INTERVAL_MS) {
    return known;
  }
  const own = getDemand(state.workspaceDemand, workspace, nowMs);
  const demand = own + getOthersDemand(state, workspace, nowMs).tokensPerSecond;
  const usage = known ?? createUsage(demand, nowMs);
  updateUsage(usage, demand, nowMs);
  state.workspaceUsage.set(workspace, usage);
  return usage;
}

/** Decides whether a new request of a paced service is beyond the usual amount of its workspace. */
export function isBeyondUsual(
  state: EntryState,
  { service, workspace }: Pick<ForwardRecord, 'service' | 'workspace'>,
  nowMs: number,
): boolean {
  if (workspace === null || !isPacedService(state, service.name)) {
    return false;
  }
  const usage = sampleUsage(state, workspace.name, nowMs);
  const others = [...state.workspaceUsage.values()].filter((other) => other !== usage);
  const fraction = getExcessFraction(usage, others);
  return fraction > 0 && nextRandom(state.random) < fraction;
}
