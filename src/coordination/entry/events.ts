/**
 * What the loop of an entry VM is told, for requests that are forwarded as they came: plain data without
 * bodies, sockets or keys.
 */
import type { BackendEntry } from '../../state/entry/backends.js';
import type { Deployment } from '../../state/entry/deployment.js';
import type { PlacementBoard, VmReport } from '../../state/entry/reports.js';
import type { Diagnostic } from '../../state/diagnostics.js';
import type { RunState } from '../../state/types.js';
import type { EntryPolicy } from './policy.js';

/** A request as the decisions see it. */
export interface ForwardRequest {
  /** Unique within this process. */
  readonly requestId: string;
  /** The id that the caller gave to this attempt. */
  readonly callerRequestId: string;
  readonly host: string;
  /** Path without query. */
  readonly path: string;
  readonly keyDigest: string | null;
  /** How long the caller will wait; null if it does not say. */
  readonly deadlineMs: number | null;
  readonly model: string | null;
  readonly adapter: string | null;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** False if the request states no token counts. */
  readonly hasTokenCounts: boolean;
  /** Ids of the parts of the prompt, in order. */
  readonly promptParts: readonly string[];
}

/** The load that a backend server tells with an answer. */
export interface BackendLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** How one dispatch ended without an answer that can be delivered. */
export interface AttemptFailure {
  readonly diagnostic: Diagnostic;
  readonly runState: RunState;
  /** The backend server itself says that it did not run the request. */
  readonly isRefusedByServer: boolean;
  /** True if the server does not hold the model, or is another one than expected. */
  readonly isMisdirected: boolean;
}

/** An order to an engine. */
export interface EngineOrder {
  readonly action: OrderAction;
  readonly model: string;
  readonly adapter: string | null;
  /** Orders that the engine must have accepted before this one. */
  readonly expectedOrderCount: number;
}

/** What an order asks for. */
export const OrderAction = { Load: 'load', Unload: 'unload' } as const;
export type OrderAction = (typeof OrderAction)[keyof typeof OrderAction];

/** What became of an order. */
export const EngineOrderOutcome = {
  /** It is being carried out. */
  Accepted: 'accepted',
  /** It holds already. */
  Done: 'done',
  /** Another order is under way, or the engine has accepted others since. */
  Conflict: 'conflict',
  /** A later controller has given orders to the engine. */
  Fenced: 'fenced',
  /** The engine rejects it, or another server answers at the address. */
  Rejected: 'rejected',
  /** No answer: it may still be carried out. */
  Unknown: 'unknown',
} as const;
export type EngineOrderOutcome = (typeof EngineOrderOutcome)[keyof typeof EngineOrderOutcome];

/** What an engine reports when it is asked. */
export interface EngineReport {
  readonly isBusy: boolean;
  readonly orderCount: number;
  readonly models: BackendEntry['models'];
  /** Adapters on their way, as `model/adapter`. */
  readonly comingAdapters: readonly string[];
}

/** An entry VM as the store lists it. */
export interface ListedEntryVm {
  readonly vmId: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
}

/** Everything that can happen to an entry VM. */
export const EntryEventKind = {
  RequestArrived: 'requestArrived',
  CallerLeft: 'callerLeft',
  RequestDue: 'requestDue',
  WaitDue: 'waitDue',
  AnswerBegun: 'answerBegun',
  AnswerReady: 'answerReady',
  AnswerCompleted: 'answerCompleted',
  AttemptFailed: 'attemptFailed',
  AttemptSilent: 'attemptSilent',
  ConfigurationRead: 'configurationRead',
  BackendsRead: 'backendsRead',
  VmsRead: 'vmsRead',
  StoreAccess: 'storeAccess',
  Tick: 'tick',
  PeerMessage: 'peerMessage',
  PeerTick: 'peerTick',
  AdapterAsked: 'adapterAsked',
  AdapterAnswered: 'adapterAnswered',
  RateAsked: 'rateAsked',
  RateLent: 'rateLent',
  ControllerTick: 'controllerTick',
  ControllerRead: 'controllerRead',
  ControllerAnswered: 'controllerAnswered',
  OrderAnswered: 'orderAnswered',
  EngineReported: 'engineReported',
  Suspended: 'suspended',
  SettingsRead: 'settingsRead',
  StopRequested: 'stopRequested',
  StopStep: 'stopStep',
} as const;
export type EntryEventKind = (typeof EntryEventKind)[keyof typeof EntryEventKind];

/** One change of the registered backend servers. */
export interface BackendChange {
  readonly id: string;
  readonly revision: number;
  /** Null if the entry was removed. */
  readonly entry: BackendEntry | null;
}

/** The payload of each event, by kind. */
export interface EntryEventPayloads {
  [EntryEventKind.RequestArrived]: { readonly request: ForwardRequest };
  [EntryEventKind.CallerLeft]: { readonly requestId: string };
  [EntryEventKind.RequestDue]: { readonly requestId: string };
  [EntryEventKind.WaitDue]: { readonly requestId: string };
  [EntryEventKind.AnswerBegun]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly load: BackendLoad | null;
  };
  /** A whole answer is held and waits for the decision to deliver it. */
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
    /** True once any byte of an answer has gone to the caller. */
    readonly isAnswerBegun: boolean;
  };
  [EntryEventKind.AttemptSilent]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly silentMs: number;
    readonly isAnswerBegun: boolean;
  };
  [EntryEventKind.ConfigurationRead]: {
    readonly deployment: Deployment;
    /** Where it came from: the store or a peer. */
    readonly source: string;
  };
  [EntryEventKind.BackendsRead]: {
    /** True if servers that are not among the changes are not registered. */
    readonly isWhole: boolean;
    readonly changes: readonly BackendChange[];
    readonly revision: number;
    readonly source: string;
  };
  [EntryEventKind.VmsRead]: { readonly vms: readonly ListedEntryVm[] };
  [EntryEventKind.StoreAccess]: { readonly isReachable: boolean };
  [EntryEventKind.Tick]: Record<never, never>;
  [EntryEventKind.PeerMessage]: {
    readonly reports: readonly VmReport[];
    readonly board: PlacementBoard | null;
    /** Set when the sender waits for an answer. */
    readonly replyId: string | null;
  };
  [EntryEventKind.PeerTick]: Record<never, never>;
  [EntryEventKind.AdapterAsked]: {
    readonly service: string;
    readonly model: string;
    readonly adapter: string;
    readonly failureDomain: string;
    readonly replyId: string;
  };
  [EntryEventKind.AdapterAnswered]: {
    readonly service: string;
    readonly model: string;
    readonly adapter: string;
    /** Null if the adapter could not be loaded anywhere. */
    readonly backendId: string | null;
  };
  /** Another VM asks for tokens of a workspace's rate. */
  [EntryEventKind.RateAsked]: {
    readonly workspace: string;
    readonly tokens: number;
    readonly replyId: string;
  };
  /** A VM has answered such a question; it has lent nothing if it did not answer in time. */
  [EntryEventKind.RateLent]: {
    readonly requestId: string;
    readonly vmId: string;
    readonly workspace: string;
    readonly lentTokens: number;
    readonly spareTokens: number;
  };
  [EntryEventKind.ControllerTick]: Record<never, never>;
  [EntryEventKind.ControllerRead]: {
    /** Null if nobody holds the lease. */
    readonly holder: ControllerClaim | null;
  };
  [EntryEventKind.ControllerAnswered]: {
    /** The fence of the lease that this VM holds; null if it does not hold one. */
    readonly fence: number | null;
    /** True if it is certain that the lease is not held. */
    readonly isLost: boolean;
    readonly sentAtMs: number;
  };
  [EntryEventKind.OrderAnswered]: {
    readonly backendId: string;
    readonly order: EngineOrder;
    readonly outcome: EngineOrderOutcome;
  };
  [EntryEventKind.EngineReported]: {
    readonly backendId: string;
    /** Null if the engine did not answer. */
    readonly report: EngineReport | null;
  };
  [EntryEventKind.Suspended]: { readonly lostMs: number };
  [EntryEventKind.SettingsRead]: { readonly policy: EntryPolicy };
  [EntryEventKind.StopRequested]: Record<never, never>;
  [EntryEventKind.StopStep]: { readonly step: StopStep };
}

/** The steps of a planned stop, in order. */
export const StopStep = { Close: 'close', BreakOff: 'breakOff', Exit: 'exit' } as const;
export type StopStep = (typeof StopStep)[keyof typeof StopStep];

/** Who holds the controller's lease. */
export interface ControllerClaim {
  readonly vmId: string;
  readonly incarnation: string;
  readonly peerAddress: string;
  readonly fence: number;
}

export type EntryEventOf<K extends EntryEventKind> = { readonly kind: K } & EntryEventPayloads[K];
export type EntryEvent = { [K in EntryEventKind]: EntryEventOf<K> }[EntryEventKind];
