/**
 * What a VM keeps for the exchange of server loads with the other VMs.
 */

/** What became of the reports of other VMs. */
export const LoadReportResult = {
  Merged: 'merged',
  /** This VM knows a newer load, or the report is too old. */
  Outdated: 'outdated',
  /** The server is unknown, or the report is of another incarnation. */
  UnknownServer: 'unknown_server',
} as const;
export type LoadReportResult = (typeof LoadReportResult)[keyof typeof LoadReportResult];

/** Mutable; owned by the event loop. */
export interface LoadExchange {
  /** Ids of the servers whose load was recorded recently. */
  readonly recentIds: Set<string>;
  /** Ids of those whose load this VM has observed itself since it last sent its observations. */
  readonly ownIds: Set<string>;
  /** Bytes that messages may still use for loads, as of `refilledAtMs`. */
  bytes: number;
  refilledAtMs: number;
  /** Number of reports of other VMs, by what became of them. */
  readonly results: Map<LoadReportResult, number>;
}

/** Creates the state of a VM that has exchanged nothing. */
export function createLoadExchange(nowMs: number): LoadExchange {
  return {
    recentIds: new Set(),
    ownIds: new Set(),
    bytes: 0,
    refilledAtMs: nowMs,
    results: new Map(),
  };
}
