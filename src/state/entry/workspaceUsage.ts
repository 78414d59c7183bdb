/**
 * Compares the demand of a workspace with its usual one.
 */

/** Time constant of a workspace's usual demand; long compared with a burst. */
const USUAL_DECAY_MS = 60_000;
/** A workspace is over its usual amount from this multiple on. */
const MIN_EXCESS_RATIO = 2;
/** A workspace below this fraction of the mean demand of the others is small. */
const SMALL_FRACTION = 0.5;
/** Multiple of the usual amount up to which its requests are treated like those of others. */
const ALLOWED_RATIO = 1.2;

/** The demand of one workspace at all VMs, in tokens per second. Mutable; owned by the event loop. */
export interface WorkspaceUsage {
  demand: number;
  /** Average of the demand so far, in which later samples weigh more. */
  usual: number;
  /** Sum of the weights of the samples, below 1; a low one gives a new sample more influence. */
  usualWeight: number;
  sampledAtMs: number;
}

/** Returns the usage of a workspace of which the first sample is known. */
export function createUsage(demand: number, nowMs: number): WorkspaceUsage {
  return { demand, usual: demand, usualWeight: 0, sampledAtMs: nowMs };
}

/** Updates the usage of a workspace with a later sample. */
export function updateUsage(usage: WorkspaceUsage, demand: number, nowMs: number): void {
  const kept = Math.exp((usage.sampledAtMs - nowMs) / USUAL_DECAY_MS);
  usage.usualWeight = usage.usualWeight * kept + (1 - kept);
  if (usage.usualWeight > 0) {
    usage.usual += ((demand - usage.usual) * (1 - kept)) / usage.usualWeight;
  }
  usage.demand = demand;
  usage.sampledAtMs = nowMs;
}

/** Returns the fraction of a workspace's requests that are beyond its usual amount, given how the demand of the others has changed. */
export function getExcessFraction(
  usage: WorkspaceUsage,
  others: readonly WorkspaceUsage[],
): number {
  const demandOfOthers = others.reduce((sum, { demand }) => sum + demand, 0);
  const usualOfOthers = others.reduce((sum, { usual }) => sum + usual, 0);
  // The demand of all workspaces grows alike after the start of a process, and on a busy day.
  const growth = usualOfOthers > 0 ? Math.max(1, demandOfOthers / usualOfOthers) : 1;
  const expected = usage.usual * growth;
  // The demand of a small workspace varies by several times without taking room from others.
  const isSmall = usage.demand * others.length <= demandOfOthers * SMALL_FRACTION;
  return others.length === 0 || isSmall || usage.demand < expected * MIN_EXCESS_RATIO
    ? 0
    : Math.max(0, 1 - (expected * ALLOWED_RATIO) / usage.demand);
}
