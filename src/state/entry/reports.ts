/**
 * What entry VMs tell each other: each VM's demand, and where the controller has placed adapters.
 */

/** Tokens a second that callers ask of a workspace at one VM, decaying over some seconds. */
export interface WorkspaceDemand {
  readonly name: string;
  readonly tokensPerSecond: number;
  /** Tokens of the workspace's rate that the VM could lend. */
  readonly spareTokens: number;
}

/** Demand for a model, or for an adapter on it. */
export interface ModelDemand {
  readonly service: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly tokensPerSecond: number;
  /** The same, with requests that are due sooner counting more. */
  readonly valuePerSecond: number;
  /** Requests that wait for the model to be loaded. */
  readonly waitingRequests: number;
}

/** One VM as it describes itself. A later sequence of the same incarnation replaces an earlier one. */
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

/** Adapters that an engine holds by the controller's orders, as `model/adapter`. */
export interface EngineAdapters {
  readonly backendId: string;
  readonly bornAtWallMs: number;
  readonly variants: readonly string[];
}

/** The controller's word on adapters. A higher fence, then a higher sequence, replaces another. */
export interface PlacementBoard {
  readonly fence: number;
  readonly sequence: number;
  readonly engines: readonly EngineAdapters[];
}

/** Tells whether a board replaces another. */
export function isLaterBoard(board: PlacementBoard, known: PlacementBoard | null): boolean {
  return (
    known === null ||
    board.fence > known.fence ||
    (board.fence === known.fence && board.sequence > known.sequence)
  );
}
