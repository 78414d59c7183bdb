/**
 * Data that entry VMs exchange: the demand at each VM, and the adapters that the controller has placed on engines.
 * Peer messages carry these types, so their members have the names of the wire format.
 */

/** Demand for a workspace's rate at one VM, as an exponentially decaying average of the requested tokens. */
export interface WorkspaceDemand {
  readonly name: string;
  readonly tokensPerSecond: number;
  /** Tokens of the workspace's rate that the VM can lend to other VMs. */
  readonly spareTokens: number;
}

/** Demand for a model, or for an adapter on it. */
export interface ModelDemand {
  readonly service: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly tokensPerSecond: number;
  /** Demand weighted by urgency: requests that are due sooner have a greater weight. */
  readonly valuePerSecond: number;
  /** Number of requests that wait for the model or adapter to be loaded. */
  readonly waitingRequests: number;
}

/** A VM's report of its own state. A report with a higher sequence number replaces one of the same incarnation. */
export interface VmReport {
  readonly vmId: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
  readonly sequence: number;
  readonly configurationVersion: number;
  readonly backendsRevision: number;
  readonly isLeaving: boolean;
  readonly workspaceDemands: readonly WorkspaceDemand[];
  readonly modelDemands: readonly ModelDemand[];
}

/** Adapters that an engine holds according to the controller's orders, each as `model/adapter`. */
export interface EngineAdapters {
  readonly backendId: string;
  readonly bornAtWallMs: number;
  readonly variants: readonly string[];
}

/**
 * The controller's current placement of adapters on engines. A board with a higher fencing token replaces another, and
 * among those with the same token the one with the higher sequence number.
 */
export interface PlacementBoard {
  readonly fence: number;
  readonly sequence: number;
  readonly engines: readonly EngineAdapters[];
}

/** Returns true if a board replaces the known one. */
export function isLaterBoard(board: PlacementBoard, known: PlacementBoard | null): boolean {
  return (
    known === null ||
    board.fence > known.fence ||
    (board.fence === known.fence && board.sequence > known.sequence)
  );
}
