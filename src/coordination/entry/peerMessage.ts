/**
 * What entry VMs are to each other: their registrations, and the messages that they exchange.
 */
import type { EvidenceReport } from '../../state/entry/evidenceReports.js';
import type {
  BoardVersion,
  FleetDemand,
  ModelDemand,
  PlacementBoard,
  ServerLoadReport,
  VmReport,
} from '../../state/entry/reports.js';

/** An entry VM as it is registered in the store. */
export interface ListedEntryVm {
  readonly vmId: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
  /** Processor time that the VM may use, in cores. */
  readonly processorShare: number;
}

/** Whether a message requests the changes of the store that its sender lacks. */
export const StoreRequest = {
  None: 'none',
  /** From the sender's relay, which must have current data. */
  Relay: 'relay',
  /** From a VM that has later data than the sender. */
  Fetch: 'fetch',
} as const;
export type StoreRequest = (typeof StoreRequest)[keyof typeof StoreRequest];

/** A message between VMs. */
export interface PeerMessage {
  readonly senderId: string;
  readonly reports: readonly VmReport[];
  readonly board: PlacementBoard | null;
  /** The version of the board that the sender has; null if it has none. */
  readonly knownBoard: BoardVersion | null;
  /** Its times are relative to the time at which the message was sent. */
  readonly evidence: EvidenceReport;
  /** True if the receiver is the sender's relay. */
  readonly isRelayed: boolean;
  /** True if the answer has to contain the reports that the receiver knows. */
  readonly isReportRequested: boolean;
  /** Demands for models at the sender and at the VMs that it relays for; empty unless the receiver is its relay or the controller. */
  readonly modelDemands: readonly ModelDemand[];
  /** From a relay to a VM that it relays for, else null. */
  readonly fleet: FleetDemand | null;
  /** Version of the sender's configuration; 0 before the first one. */
  readonly configurationVersion: number;
  /** Loads of servers of paced services, the newest first. */
  readonly serverLoads: readonly ServerLoadReport[];
}
