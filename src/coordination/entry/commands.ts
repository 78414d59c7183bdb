/**
 * Commands that the event loop of an entry VM issues for the transport layer to execute. They are plain data,
 * like the events.
 */
import type { CallerLimits } from '../../state/entry/deployment.js';
import type { Quarantine } from '../../state/entry/crashEvidence.js';
import type { AdapterNeed } from '../../state/entry/reports.js';
import type { StreamGroup } from '../../state/entry/streamOrigins.js';
import type { Refusal } from '../../state/types.js';
import type { LogLevel, RequestMetrics } from '../events.js';
import type { EngineOrder } from './engineOrder.js';
import type { EntryEvent, LimitName } from './events.js';
import type { PassedRequest } from './passedRequest.js';
import type { PeerMessage, StoreRequest } from './peerMessage.js';
import type { PeerCallPurpose } from './exchange/peerCallPurpose.js';

/** The kinds of commands that the event loop issues. */
export const EntryCommandKind = {
  Dispatch: 'dispatch',
  Pass: 'pass',
  CancelAttempt: 'cancelAttempt',
  RecallAttempt: 'recallAttempt',
  DeliverAnswer: 'deliverAnswer',
  Refuse: 'refuse',
  AbortAnswer: 'abortAnswer',
  ProbeBackend: 'probeBackend',
  StoreQuarantines: 'storeQuarantines',
  WriteStreamOrigins: 'writeStreamOrigins',
  ReadStreamOrigins: 'readStreamOrigins',
  SetLimits: 'setLimits',
  SetReady: 'setReady',
  StopAccepting: 'stopAccepting',
  Exit: 'exit',
  SendPeerMessage: 'sendPeerMessage',
  ReplyToPeer: 'replyToPeer',
  SetStoreAccess: 'setStoreAccess',
  RenewRegistration: 'renewRegistration',
  RequestAdapter: 'requestAdapter',
  ReplyToAdapterRequest: 'replyToAdapterRequest',
  RequestLoan: 'requestLoan',
  ReplyToLoanRequest: 'replyToLoanRequest',
  AcquireControllerLease: 'acquireControllerLease',
  RenewControllerLease: 'renewControllerLease',
  ReleaseControllerLease: 'releaseControllerLease',
  SendOrder: 'sendOrder',
  ReadEngineReport: 'readEngineReport',
  StartTimer: 'startTimer',
  CancelTimer: 'cancelTimer',
  Log: 'log',
  RecordRequest: 'recordRequest',
} as const;
export type EntryCommandKind = (typeof EntryCommandKind)[keyof typeof EntryCommandKind];

/** The components of an entry VM that write log lines; the value is the prefix of the line. */
export const EntryLogPrefix = {
  Request: 'request',
  Backend: 'backend',
  Configuration: 'config',
  Peer: 'peer',
  Placement: 'placement',
  Lifecycle: 'lifecycle',
  Store: 'store',
  Rate: 'rate',
  Quarantine: 'quarantine',
} as const;
export type EntryLogPrefix = (typeof EntryLogPrefix)[keyof typeof EntryLogPrefix];

export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** A question that a server answers without running a request. */
export interface LifeCheck {
  /** Null for an engine, which is asked for its load report: that waits for no slot. */
  readonly healthPath: string | null;
}

/** What all attempts have in common, at a backend server or at another VM. */
interface AttemptPayload {
  readonly requestId: string;
  readonly attempt: number;
  readonly address: string;
  readonly maxConnections: number;
  /** Time until the request's deadline. */
  readonly remainingMs: number;
  /** Time without received data before the response starts, after which the attempt is reported as stalled. */
  readonly startTimeoutMs: number;
  /** The same limit once the response has started, between two events of a stream. */
  readonly eventGapTimeoutMs: number;
  readonly isStream: boolean;
}

/** The payload of each command, by kind. */
export interface EntryCommandPayloads {
  [EntryCommandKind.Dispatch]: AttemptPayload & {
    readonly backendId: string;
    /** With the id, the incarnation of the server. */
    readonly bornAtWallMs: number;
    readonly softwareVersion: string;
    readonly workspace: string | null;
    /** Lower values are served first; 0 is the most urgent. */
    readonly urgency: number;
    /** True if the server had a request limit, so that an answer without one shows that the limit has ended. */
    readonly isServerLimited: boolean;
    /** True if the server counted as brittle, so that an answer without that shows its end. */
    readonly isServerBrittle: boolean;
    /** How the server can be asked whether it lives; null if it cannot. */
    readonly lifeCheck: LifeCheck | null;
  };
  /** Starts an attempt at another VM, which sends the request to a server. */
  [EntryCommandKind.Pass]: AttemptPayload & { readonly vmId: string; readonly pass: PassedRequest };
  /** Fails an attempt whose request has not been sent to its server. */
  [EntryCommandKind.RecallAttempt]: { readonly requestId: string; readonly attempt: number };
  [EntryCommandKind.CancelAttempt]: { readonly requestId: string; readonly attempt: number };
  [EntryCommandKind.DeliverAnswer]: { readonly requestId: string; readonly attempt: number };
  [EntryCommandKind.Refuse]: { readonly requestId: string; readonly refusal: Refusal };
  /** Ends a response that has started so that the caller can detect that it is incomplete. */
  [EntryCommandKind.AbortAnswer]: { readonly requestId: string; readonly refusal: Refusal };
  /** Connects to a backend server to find out whether its process has ended. */
  [EntryCommandKind.ProbeBackend]: { readonly address: string; readonly processKey: string };
  /** Writes the quarantines to the store, with times relative to the command. */
  [EntryCommandKind.StoreQuarantines]: {
    readonly quarantines: readonly Quarantine[];
    /** Version that the key must have; 0 if it must not exist. */
    readonly expectedVersion: number;
  };
  /** Writes a batch of the origins of streams to the store, with times relative to the command. */
  [EntryCommandKind.WriteStreamOrigins]: {
    /** Names the key of the batch among those of this process. */
    readonly batch: number;
    /** Version that the key must have; 0 if it must not exist. */
    readonly expectedVersion: number;
    readonly groups: readonly StreamGroup[];
    /** Time for which the store has to keep the batch. */
    readonly lifeMs: number;
  };
  /** Reads the origins of streams that all VMs have written to the store. */
  [EntryCommandKind.ReadStreamOrigins]: Record<never, never>;
  [EntryCommandKind.SetLimits]: { readonly limits: CallerLimits };
  [EntryCommandKind.SetReady]: { readonly isReady: boolean };
  /** Refuses new connections and closes idle ones. */
  [EntryCommandKind.StopAccepting]: Record<never, never>;
  [EntryCommandKind.Exit]: Record<never, never>;
  [EntryCommandKind.SendPeerMessage]: {
    readonly vmId: string;
    readonly peerAddress: string;
    readonly message: PeerMessage;
    readonly storeRequest: StoreRequest;
    readonly purpose: PeerCallPurpose;
  };
  [EntryCommandKind.ReplyToPeer]: { readonly replyId: string; readonly message: PeerMessage };
  /** Registers this VM in the store at once, since the store may have lost its registration. */
  [EntryCommandKind.RenewRegistration]: Record<never, never>;
  /** Starts or stops to read the store. */
  [EntryCommandKind.SetStoreAccess]: { readonly isReader: boolean };
  /** Requests an adapter from the controller. */
  [EntryCommandKind.RequestAdapter]: {
    readonly peerAddress: string;
    readonly need: AdapterNeed;
  };
  [EntryCommandKind.ReplyToAdapterRequest]: {
    readonly replyId: string;
    readonly backendId: string | null;
    /** Time until the adapter is loaded. */
    readonly delayMs: number;
  };
  /** Requests a loan of the tokens of a limit that this VM lacks for a request. */
  [EntryCommandKind.RequestLoan]: {
    readonly requestId: string;
    readonly vmId: string;
    readonly peerAddress: string;
    readonly limit: LimitName;
    readonly tokens: number;
  };
  [EntryCommandKind.ReplyToLoanRequest]: {
    readonly replyId: string;
    readonly lentTokens: number;
    readonly spareTokens: number;
  };
  [EntryCommandKind.AcquireControllerLease]: Record<never, never>;
  [EntryCommandKind.RenewControllerLease]: { readonly fence: number };
  [EntryCommandKind.ReleaseControllerLease]: { readonly fence: number };
  [EntryCommandKind.SendOrder]: {
    readonly backendId: string;
    /** With the id, the incarnation of the engine. */
    readonly bornAtWallMs: number;
    readonly address: string;
    readonly order: EngineOrder;
    readonly fence: number;
    /** The order must not be sent after this time. */
    readonly validUntilMs: number;
  };
  [EntryCommandKind.ReadEngineReport]: {
    readonly backendId: string;
    readonly bornAtWallMs: number;
    readonly address: string;
  };
  [EntryCommandKind.StartTimer]: {
    readonly timerId: string;
    readonly delayMs: number;
    readonly event: EntryEvent;
  };
  [EntryCommandKind.CancelTimer]: { readonly timerId: string };
  [EntryCommandKind.Log]: {
    readonly level: LogLevel;
    readonly part: EntryLogPrefix;
    readonly text: string;
    readonly fields: LogFields;
  };
  /** Records the measurements of a request and frees everything else; the last command of every request. */
  [EntryCommandKind.RecordRequest]: {
    readonly requestId: string;
    readonly measure: RequestMetrics;
  };
}

export type EntryCommandOf<K extends EntryCommandKind> = {
  readonly kind: K;
} & EntryCommandPayloads[K];
export type EntryCommand = { [K in EntryCommandKind]: EntryCommandOf<K> }[EntryCommandKind];

/** Creates a command that writes a log line. */
export function createEntryLog(
  level: LogLevel,
  part: EntryLogPrefix,
  text: string,
  fields: LogFields = {},
): EntryCommand {
  return { kind: EntryCommandKind.Log, level, part, text, fields };
}

/** Creates a command that posts an event after a delay; it replaces an earlier timer of the same id. */
export function createEntryTimer(
  timerId: string,
  delayMs: number,
  event: EntryEvent,
): EntryCommand {
  return { kind: EntryCommandKind.StartTimer, timerId, delayMs, event };
}
