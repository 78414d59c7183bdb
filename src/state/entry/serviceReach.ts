/**
 * Whether a VM reaches the backend servers of a service, as its own connections show. A VM that reaches none of them is cut off
 * from the service: other VMs may still reach it.
 */

/** Servers in a row that must not be reached before a VM counts as cut off, where the service has as many. */
const CUT_OFF_SERVERS = 3;
/** Servers in a row that probes must reach before it counts as connected again, where the service has as many. */
const RECONNECTED_SERVERS = 2;

/** What the connections of a VM to the servers of one service have shown. Mutable; owned by the event loop. */
export interface ServiceReach {
  /** Ids of the servers that were not reached since the last one that was. */
  readonly unreachedIds: Set<string>;
  /** Ids of the servers that probes have reached since the last one that was not, while the VM is cut off. */
  readonly probedIds: Set<string>;
  /** Time at which a server was last reached. */
  reachedAtMs: number;
  /** Time since which the VM is cut off; null while it is not. */
  cutOffSinceMs: number | null;
  /** Time at which another VM last ended a request as one that reaches the servers. */
  othersReachAtMs: number;
  /** Time until which passing requests to other VMs is of no use, since those that were asked reach no server either. */
  passingFutileUntilMs: number;
  /** Number of probes so far, by which they take the servers in turn. */
  probeCount: number;
  /** Time of the last probe because of silence. */
  silenceProbedAtMs: number;
}

/** Creates the state of a service of which no server has been connected to. */
export function createServiceReach(): ServiceReach {
  return {
    unreachedIds: new Set(),
    probedIds: new Set(),
    reachedAtMs: Number.NEGATIVE_INFINITY,
    cutOffSinceMs: null,
    othersReachAtMs: Number.NEGATIVE_INFINITY,
    passingFutileUntilMs: Number.NEGATIVE_INFINITY,
    probeCount: 0,
    silenceProbedAtMs: Number.NEGATIVE_INFINITY,
  };
}

/** Records that a server has answered. Only probes show that a VM is connected again, since answers may come on old connections. */
export function recordReached(reach: ServiceReach, nowMs: number): void {
  reach.reachedAtMs = nowMs;
  if (reach.cutOffSinceMs === null) {
    reach.unreachedIds.clear();
  }
}

/** Records that a server could not be connected to. Returns true if the VM now counts as cut off, and did not before. */
export function recordUnreached(
  reach: ServiceReach,
  serverId: string,
  serverCount: number,
  nowMs: number,
): boolean {
  reach.unreachedIds.add(serverId);
  const isCutOff = reach.unreachedIds.size >= Math.min(CUT_OFF_SERVERS, serverCount);
  if (reach.cutOffSinceMs !== null || serverCount === 0 || !isCutOff) {
    return false;
  }
  reach.cutOffSinceMs = nowMs;
  reach.probedIds.clear();
  return true;
}

/** Ends the time for which a VM counts as cut off. */
export function endCutOff(reach: ServiceReach): void {
  reach.cutOffSinceMs = null;
  reach.unreachedIds.clear();
  reach.probedIds.clear();
}

/** Records the result of a probe while the VM is cut off. Returns true if the VM now counts as connected again. */
export function recordProbed(
  reach: ServiceReach,
  serverId: string,
  isReached: boolean,
  serverCount: number,
  nowMs: number,
): boolean {
  if (!isReached) {
    reach.probedIds.clear();
    return false;
  }
  reach.probedIds.add(serverId);
  if (reach.probedIds.size < Math.min(RECONNECTED_SERVERS, serverCount)) {
    return false;
  }
  endCutOff(reach);
  reach.reachedAtMs = nowMs;
  return true;
}
