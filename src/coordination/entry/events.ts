/**
 * Events that the event loop of an entry VM handles, for requests that are forwarded unchanged. They are plain
 * data without bodies, sockets or API keys.
 */
import type { BackendEntry, BackendLoad } from '../../state/entry/backends.js';
import type { Deployment } from '../../state/entry/deployment.js';
import type { Quarantine } from '../../state/entry/crashEvidence.js';
import type { AdapterNeed } from '../../state/entry/reports.js';
import type { LifeEvidence } from '../../state/entry/serverLife.js';
import type { SpoilReason } from '../../state/entry/spoiledStreams.js';
import type { StreamGroup } from '../../state/entry/streamOrigins.js';
import type { Diagnostic } from '../../state/diagnostics.js';
import type { RunState } from '../../state/types.js';
import type { CloseCause } from './closeCause.js';
import type { AnswerSource, PassedEnd, PassedRequest } from './passedRequest.js';
import type { ListedEntryVm, PeerMessage } from './peerMessage.js';
import type { EngineOrder, EngineOrderOutcome, EngineReport } from './engineOrder.js';
import type { EntryPolicy } from './policy.js';
import type { StreamOriginsTask } from './requests/streamState.js';

/** The properties of a request that routing, rate limiting and placement use. */
export interface ForwardRequest {
  /** Unique within this process. */
  readonly requestId: string;
  /** The id that the caller assigned to this attempt. */
  readonly callerRequestId: string;
  readonly host: string;
  /** Path without query. */
  readonly path: string;
  readonly keyDigest: string | null;
  /** Time that the caller waits at most; null if the request does not state it. */
  readonly deadlineMs: number | null;
  readonly model: string | null;
  readonly adapter: string | null;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** False if the request states no token counts. */
  readonly hasTokenCounts: boolean;
  /** Ids of the parts of the prompt, in the order of the prompt. */
  readonly promptParts: readonly string[];
  /** Number of the last event that the caller has from an earlier request; null if it asks for the stream from its beginning. */
  readonly lastEventId: string | null;
  /** The caller's id of the request that brought the first event of the stream; null if it names none. */
  readonly resumedRequestId: string | null;
  /** Digest of method, target and body: equal for requests with the same content, whatever their ids. */
  readonly contentDigest: string;
}

/** How a dispatch ended that produced no response to deliver. */
export interface AttemptFailure {
  readonly diagnostic: Diagnostic;
  readonly runState: RunState;
  /** True if the backend server reports that it did not run the request. */
  readonly isRefusedByServer: boolean;
  /** True if the server has not loaded the model, or is not the server that was addressed. */
  readonly isMisdirected: boolean;
}

/** The kinds of limits that the VMs divide among themselves, and whose tokens they lend each other. */
export const LimitKind = {
  /** The rate of a workspace. */
  Workspace: 'workspace',
  /** The requests that a backend server takes from all VMs. */
  Server: 'server',
  /** The places of a brittle backend server. */
  Place: 'place',
} as const;
export type LimitKind = (typeof LimitKind)[keyof typeof LimitKind];

/** A limit, by the name of its workspace or the id of its server. */
export interface LimitName {
  readonly kind: LimitKind;
  readonly name: string;
}

/** What a connection to a backend server shows about its process. */
export const ProbeOutcome = {
  Accepting: 'accepting',
  /** The machine refuses the connection, so that no process is listening. */
  Gone: 'gone',
  /** Nothing was received in time. */
  Unknown: 'unknown',
} as const;
export type ProbeOutcome = (typeof ProbeOutcome)[keyof typeof ProbeOutcome];

/** The kinds of events that the event loop of an entry VM handles. */
export const EntryEventKind = {
  RequestArrived: 'requestArrived',
  CallerDisconnected: 'callerDisconnected',
  RequestDeadlineReached: 'requestDeadlineReached',
  WaitTimedOut: 'waitTimedOut',
  AnswerStarted: 'answerStarted',
  AnswerReady: 'answerReady',
  AnswerCompleted: 'answerCompleted',
  AttemptFailed: 'attemptFailed',
  StreamSpoiled: 'streamSpoiled',
  UnframedAnswerEnded: 'unframedAnswerEnded',
  AttemptStalled: 'attemptStalled',
  PassedRequestArrived: 'passedRequestArrived',
  ReachTick: 'reachTick',
  LimitReported: 'limitReported',
  BrittlenessReported: 'brittlenessReported',
  ServerStated: 'serverStated',
  BackendProbed: 'backendProbed',
  EvidenceSpread: 'evidenceSpread',
  QuarantinesRead: 'quarantinesRead',
  StreamOriginsTick: 'streamOriginsTick',
  StreamOriginsWritten: 'streamOriginsWritten',
  StreamOriginsRead: 'streamOriginsRead',
  StoreContentsRead: 'storeContentsRead',
  ConfigurationRead: 'configurationRead',
  BackendsRead: 'backendsRead',
  EvacuationsRead: 'evacuationsRead',
  VmsRead: 'vmsRead',
  StoreReachabilityRead: 'storeReachabilityRead',
  StoreContentsAged: 'storeContentsAged',
  StoreChangesTick: 'storeChangesTick',
  StoreRestored: 'storeRestored',
  MaintenanceTick: 'maintenanceTick',
  PeerMessage: 'peerMessage',
  PeerTick: 'peerTick',
  PeerCallFailed: 'peerCallFailed',
  AdapterRequested: 'adapterRequested',
  AdapterRequestAnswered: 'adapterRequestAnswered',
  LoanRequested: 'loanRequested',
  LoanAnswered: 'loanAnswered',
  ControllerTick: 'controllerTick',
  ControllerLeaseRead: 'controllerLeaseRead',
  ControllerLeaseAnswered: 'controllerLeaseAnswered',
  OrderAnswered: 'orderAnswered',
  EngineReported: 'engineReported',
  Suspended: 'suspended',
  SettingsRead: 'settingsRead',
  StopRequested: 'stopRequested',
  StopStep: 'stopStep',
} as const;
export type EntryEventKind = (typeof EntryEventKind)[keyof typeof EntryEventKind];

/** A change to the registration of one backend server. */
export interface BackendChange {
  readonly id: string;
  readonly revision: number;
  /** Null if the registration was removed. */
  readonly entry: BackendEntry | null;
}

/** A change to the evacuation of one failure domain. */
export interface EvacuationChange {
  readonly failureDomain: string;
  readonly revision: number;
  /** False if the evacuation was taken back. */
  readonly isEvacuated: boolean;
}

/** The payload of each event, by kind. */
export interface EntryEventPayloads {
  [EntryEventKind.RequestArrived]: {
    readonly request: ForwardRequest;
    /** Time that the request may have waited to be read. */
    readonly delayMs: number;
  };
  /** Another VM passes a request to this one. */
  [EntryEventKind.PassedRequestArrived]: {
    readonly request: ForwardRequest;
    readonly pass: PassedRequest;
    /** Time that the request may have waited to be read. */
    readonly delayMs: number;
  };
  /** Probes a server of a service that this VM is cut off from. */
  [EntryEventKind.ReachTick]: { readonly service: string };
  /** The connection of an admitted request was closed before its answer was complete. */
  [EntryEventKind.CallerDisconnected]: {
    readonly requestId: string;
    readonly closedBy: CloseCause;
  };
  [EntryEventKind.RequestDeadlineReached]: { readonly requestId: string };
  [EntryEventKind.WaitTimedOut]: { readonly requestId: string };
  [EntryEventKind.AnswerStarted]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly load: BackendLoad | null;
    /** The server that answers, if another VM passes its answer; absent or null if it is not known. */
    readonly source?: AnswerSource | null;
  };
  /** A complete response is buffered until the loop decides whether to deliver it. */
  [EntryEventKind.AnswerReady]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly status: number;
    readonly load: BackendLoad | null;
  };
  [EntryEventKind.AnswerCompleted]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly maxGapMs: number;
    readonly meanGapMs: number;
  };
  [EntryEventKind.AttemptFailed]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly failure: AttemptFailure;
    readonly load: BackendLoad | null;
    /** Why the VM that the request was passed to has ended it; absent or null if that was not so. */
    readonly passedEnd?: PassedEnd | null;
    /** True if any byte of a response has been sent to the caller. */
    readonly isAnswerBegun: boolean;
    /** Time of the last stream event that was sent to the caller; absent or null if none was. */
    readonly lastEventAtMs?: number | null;
    /** True if events that the caller has are in doubt; absent if none are. */
    readonly isPlaceDoubtful?: boolean;
  };
  /** An event of a stream does not belong to it. */
  [EntryEventKind.StreamSpoiled]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly reason: SpoilReason;
    /** Number of the last event before it; null if there was none. */
    readonly afterId: string | null;
  };
  /** The connection of an answer without a length has ended in order. */
  [EntryEventKind.UnframedAnswerEnded]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly evidence: LifeEvidence;
  };
  [EntryEventKind.AttemptStalled]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly silentMs: number;
    readonly isAnswerBegun: boolean;
    /** True if events that the caller has are in doubt; absent if none are. */
    readonly isPlaceDoubtful?: boolean;
  };
  /** The head of a response states the requests that its server takes from all VMs together. */
  [EntryEventKind.LimitReported]: {
    readonly backendId: string;
    /** Null if the server has no limit. */
    readonly requestsPerSecond: number | null;
    /** Time at which the request was dispatched. */
    readonly dispatchedAtMs: number;
  };
  /** The head of a response states the rejections that its server bears in a second, or no longer does. */
  [EntryEventKind.BrittlenessReported]: {
    readonly backendId: string;
    readonly bornAtWallMs: number;
    /** Null if the server is not brittle. */
    readonly maxRejectionsPerSecond: number | null;
    /** Time at which the request was dispatched. */
    readonly dispatchedAtMs: number;
  };
  /** The head of a response states that its server is leaving, or asks for a pause. */
  [EntryEventKind.ServerStated]: {
    readonly backendId: string;
    /** The incarnation of the server to which the request was sent. */
    readonly bornAtWallMs: number;
    /** The caller's id of the request; what was asked, if no caller did. */
    readonly requestName: string;
    readonly isLeaving: boolean;
    /** Time for which the server wants nothing from this VM; null if it asks for none. */
    readonly pauseMs: number | null;
    /** Time for which the server stays cold; absent if it states none. */
    readonly coldMs?: number;
    readonly isMalformed: boolean;
  };
  [EntryEventKind.BackendProbed]: {
    /** The process that was probed, as `getProcessKey` returns it. */
    readonly processKey: string;
    readonly outcome: ProbeOutcome;
  };
  /** Sends new evidence to peers. */
  [EntryEventKind.EvidenceSpread]: Record<never, never>;
  /** The quarantines in the store, with times relative to the event, and the version of their key. */
  [EntryEventKind.QuarantinesRead]: {
    readonly quarantines: readonly Quarantine[];
    readonly version: number;
  };
  [EntryEventKind.StreamOriginsTick]: { readonly task: StreamOriginsTask };
  /** The version of the batch that was written; null if the store has not confirmed the write. */
  [EntryEventKind.StreamOriginsWritten]: { readonly version: number | null };
  /** What VMs have written, with times relative to the event; null if the store did not answer. */
  [EntryEventKind.StreamOriginsRead]: {
    readonly groups: readonly StreamGroup[] | null;
    /** Revision of the store at the read; 0 if it did not answer. */
    readonly revision: number;
  };
  [EntryEventKind.ConfigurationRead]: {
    readonly deployment: Deployment;
    /** Store revision at which the configuration was written. */
    readonly revision: number;
    /** The origin of the configuration: the store or a peer. */
    readonly source: string;
  };
  [EntryEventKind.BackendsRead]: {
    /** True for a full snapshot: servers that are not among the changes are not registered. */
    readonly isSnapshot: boolean;
    readonly changes: readonly BackendChange[];
    readonly revision: number;
    readonly source: string;
  };
  [EntryEventKind.EvacuationsRead]: {
    /** True for a full snapshot: failure domains that are not among the changes are not evacuated. */
    readonly isSnapshot: boolean;
    readonly changes: readonly EvacuationChange[];
    readonly revision: number;
    readonly source: string;
  };
  /** The store has come back from a copy that is some seconds older; its contents follow. */
  [EntryEventKind.StoreRestored]: {
    readonly revision: number;
    readonly knownRevision: number;
    readonly source: string;
  };
  /** The contents of the store up to a revision have been posted. */
  [EntryEventKind.StoreContentsRead]: {
    readonly revision: number;
    /** Time since a moment until which they are all that the store had; null if no such moment is known. */
    readonly ageMs: number | null;
  };
  [EntryEventKind.VmsRead]: { readonly vms: readonly ListedEntryVm[] };
  [EntryEventKind.StoreReachabilityRead]: {
    readonly isReachable: boolean;
    /** Time since the store confirmed what this VM knows of it; only read if it is reachable. */
    readonly ageMs: number;
  };
  /** The contents of the store were not confirmed for the longest time for which this VM uses them. */
  [EntryEventKind.StoreContentsAged]: Record<never, never>;
  /** Requests the changes of the store as the second relay of the failure domain. */
  [EntryEventKind.StoreChangesTick]: Record<never, never>;
  [EntryEventKind.MaintenanceTick]: Record<never, never>;
  [EntryEventKind.PeerMessage]: {
    readonly message: PeerMessage;
    /** Null if the sender expects no response. */
    readonly replyId: string | null;
  };
  [EntryEventKind.PeerTick]: Record<never, never>;
  /** A VM did not answer a message, or answered as a relay without current data. */
  [EntryEventKind.PeerCallFailed]: { readonly vmId: string };
  /** Another VM requests an adapter from this VM as the controller. */
  [EntryEventKind.AdapterRequested]: {
    readonly need: AdapterNeed;
    readonly replyId: string;
  };
  [EntryEventKind.AdapterRequestAnswered]: {
    readonly service: string;
    readonly model: string;
    readonly adapter: string;
    /** Null if no engine could load the adapter. */
    readonly backendId: string | null;
  };
  /** Another VM requests a loan of tokens from this VM's share of a limit. */
  [EntryEventKind.LoanRequested]: {
    readonly limit: LimitName;
    readonly tokens: number;
    readonly replyId: string;
  };
  /** Another VM has responded to a loan request of this VM; a VM that did not respond in time has lent 0 tokens. */
  [EntryEventKind.LoanAnswered]: {
    readonly requestId: string;
    readonly vmId: string;
    readonly limit: LimitName;
    readonly lentTokens: number;
    readonly spareTokens: number;
  };
  [EntryEventKind.ControllerTick]: Record<never, never>;
  [EntryEventKind.ControllerLeaseRead]: {
    /** Null if no VM holds the lease. */
    readonly holder: ControllerLeaseHolder | null;
  };
  [EntryEventKind.ControllerLeaseAnswered]: {
    /** Fencing token of the lease that this VM holds; null if it does not hold the lease. */
    readonly fence: number | null;
    /** True if it is certain that this VM does not hold the lease. */
    readonly isLost: boolean;
    readonly sentAtMs: number;
    /** True for the answer to a renewal; absent if the call was to acquire the lease. */
    readonly isRenewal?: boolean;
  };
  [EntryEventKind.OrderAnswered]: {
    readonly backendId: string;
    readonly order: EngineOrder;
    readonly outcome: EngineOrderOutcome;
  };
  [EntryEventKind.EngineReported]: {
    readonly backendId: string;
    /** Null if the engine did not respond. */
    readonly report: EngineReport | null;
  };
  [EntryEventKind.Suspended]: { readonly lostMs: number };
  [EntryEventKind.SettingsRead]: { readonly policy: EntryPolicy };
  [EntryEventKind.StopRequested]: Record<never, never>;
  [EntryEventKind.StopStep]: { readonly step: StopStep };
}

/** The steps of a graceful shutdown, in order. */
export const StopStep = {
  Drain: 'drain',
  RejectUnsent: 'rejectUnsent',
  AbortRequests: 'abortRequests',
  Exit: 'exit',
} as const;
export type StopStep = (typeof StopStep)[keyof typeof StopStep];

/** The holder of the controller lease. */
export interface ControllerLeaseHolder {
  readonly vmId: string;
  readonly incarnation: string;
  readonly peerAddress: string;
  readonly fence: number;
}

export type EntryEventOf<K extends EntryEventKind> = { readonly kind: K } & EntryEventPayloads[K];
export type EntryEvent = { [K in EntryEventKind]: EntryEventOf<K> }[EntryEventKind];
