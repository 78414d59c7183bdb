/**
 * What VMs tell each other of a request that one of them passes to another because it reaches no server of its service.
 *
 * The VM that has the caller authenticates and charges the request, and keeps its deadline; the other one chooses the server and
 * holds its limits. A request is passed once: the VM that it was passed to sends it to a server or rejects it.
 */
import type { RunStatus } from '../../state/types.js';

/** What the VM that passes a request tells of it besides its own head and body. */
export interface PassedRequest {
  readonly vmId: string;
  /** With the id, the process of the VM, as it is listed in the store. */
  readonly incarnation: string;
  readonly configurationVersion: number;
  /** The service that was picked for the request among the targets of its route. */
  readonly service: string;
  /** The workspace of the request's key; null if its route needs none. */
  readonly workspace: string | null;
  /** Version of the software that began the stream; null if any may run the request. */
  readonly streamVersion: string | null;
  /** Servers, and VMs that it was passed to, that may have run it. */
  readonly possiblyRunIds: readonly string[];
  /** Servers that provably did not run it. */
  readonly notRunIds: readonly string[];
  /** Whether the numbers of the events that the caller has rise by one; null if they do not show it. Set as the request is sent. */
  readonly isConsecutive?: boolean | null;
}

/** The server whose answer a VM passes back. */
export interface AnswerSource {
  readonly backendId: string;
  readonly bornAtWallMs: number;
  readonly softwareVersion: string;
}

/** How a VM ends a request that was passed to it and that no server has answered. */
export interface PassedEnd {
  readonly run: RunStatus;
  /** Code of the diagnostic. */
  readonly code: number;
  readonly message: string;
  readonly retryAfterMs: number | null;
}
