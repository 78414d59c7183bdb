/**
 * The VMs that a VM passes requests to, and how those requests end.
 */

/** A VM that this VM passes requests to, as far as this VM knows. */
export interface PassTarget {
  /** Requests of this VM that it has. */
  inFlight: number;
  /** Time until which it gets no requests for a service, by service. */
  readonly avoidUntilMs: Map<string, number>;
  /** Time at which it last brought an answer of a server, by service. */
  readonly answeredAtMs: Map<string, number>;
}

/** How requests that were passed to other VMs have ended. */
export const PassResult = {
  Answered: 'answered',
  /** The other VM has rejected it for a reason that would hold at any VM. */
  Rejected: 'rejected',
  /** The other VM could not run it, or was not reached. */
  Returned: 'returned',
  /** The other VM was lost, and may have had it run. */
  Lost: 'lost',
} as const;
export type PassResult = (typeof PassResult)[keyof typeof PassResult];
