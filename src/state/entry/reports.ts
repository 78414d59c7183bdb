/**
 * Data that entry VMs exchange: the demand at the VMs, and the adapters that the controller has placed on engines.
 * Peer messages carry these types, so their members have the names of the wire format.
 */

/** An adapter that a request needs, and the engines that it can use. */
export interface AdapterNeed {
  readonly service: string;
  readonly model: string;
  readonly adapter: string;
  /** Failure domain of the VM that has the request. */
  readonly failureDomain: string;
  /** Version of the software that the engine must have; null if any will do. */
  readonly softwareVersion: string | null;
}

/** A VM that has tokens of a workspace's rate that it can lend. */
export interface Lender {
  readonly vmId: string;
  readonly spareTokens: number;
}

/** Demand for a workspace's rate, as an exponentially decaying average of the requested tokens. */
export interface WorkspaceDemand {
  readonly name: string;
  readonly tokensPerSecond: number;
  /** VMs with the most spare tokens. */
  readonly lenders: readonly Lender[];
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
  /** The software version that alone may run the waiting requests; null if any may. */
  readonly softwareVersion: string | null;
}

/**
 * A VM's report of its own state, and of the demand at the VMs that it relays for. A report with a higher sequence
 * number replaces one of the same incarnation.
 */
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
  /** Number of VMs whose demands the report includes. */
  readonly vmCount: number;
  /** Age of the report when it was sent, so that it does not count as recent again at each VM that passes it on. */
  readonly ageMs: number;
}

/** The demands over all VMs that have reported recently. */
export interface FleetDemand {
  readonly demands: readonly WorkspaceDemand[];
  readonly vmCount: number;
}

/** What an engine holds and loads according to the controller's orders. */
export interface EngineAdapters {
  readonly backendId: string;
  readonly bornAtWallMs: number;
  /** The adapters that it holds, each as `model/adapter`. */
  readonly variants: readonly string[];
  /** The model that it is loading or that freed memory is reserved for; null if there is none. */
  readonly incomingModel: string | null;
  /** Sequence number of the board at which the engine's placement last changed. */
  readonly sequence: number;
}

/** Version of a board. A higher fencing token is later, and among equal ones a higher sequence number. */
export interface BoardVersion {
  readonly fence: number;
  readonly sequence: number;
}

/** The controller's placement of adapters on engines, or what has changed in it since an earlier version. */
export interface PlacementBoard extends BoardVersion {
  readonly engines: readonly EngineAdapters[];
  /** Sequence number of the version that the changes follow; 0 for the whole placement. */
  readonly baseSequence: number;
}

/** Returns true if a board is later than the known version. */
export function isLaterBoard(board: BoardVersion, known: BoardVersion | null): boolean {
  return (
    known === null ||
    board.fence > known.fence ||
    (board.fence === known.fence && board.sequence > known.sequence)
  );
}

/** Returns what a VM that has the known version lacks of a board; null if it lacks nothing. */
export function createBoardUpdate(
  board: PlacementBoard | null,
  known: BoardVersion | null,
): PlacementBoard | null {
  if (board === null || !isLaterBoard(board, known)) {
    return null;
  }
  if (known?.fence !== board.fence) {
    return board;
  }
  const engines = board.engines.filter(({ sequence }) => sequence > known.sequence);
  return { ...board, engines, baseSequence: known.sequence };
}

/** Applies an update to a board. Returns the known board if the update is not later or follows an unknown version. */
export function mergeBoard(
  known: PlacementBoard | null,
  update: PlacementBoard | null,
): PlacementBoard | null {
  if (update === null || !isLaterBoard(update, known)) {
    return known;
  }
  if (update.baseSequence === 0) {
    return update;
  }
  if (known?.fence !== update.fence || known.sequence < update.baseSequence) {
    return known;
  }
  const changed = new Set(update.engines.map(({ backendId }) => backendId));
  const kept = known.engines.filter(({ backendId }) => !changed.has(backendId));
  return { ...update, engines: [...kept, ...update.engines], baseSequence: 0 };
}

/** The load of a server of a paced service, as a VM reports it to another. */
export interface ServerLoadReport {
  readonly serverId: string;
  readonly bornAtWallMs: number;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Duration of work on the server's machine as a multiple of the usual. */
  readonly pace: number;
  /** Time since the server stated it, as far as known. */
  readonly ageMs: number;
}
