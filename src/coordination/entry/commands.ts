/**
 * What the loop of an entry VM orders. Plain data, as its events are.
 */
import type { CallerLimits } from '../../state/entry/deployment.js';
import type { PlacementBoard, VmReport } from '../../state/entry/reports.js';
import type { Refusal } from '../../state/types.js';
import type { LogLevel, RequestMeasure } from '../events.js';
import type { EngineOrder, EntryEvent } from './events.js';

/** Everything that the loop can order. */
export const EntryCommandKind = {
  Dispatch: 'dispatch',
  CancelAttempt: 'cancelAttempt',
  DeliverAnswer: 'deliverAnswer',
  Refuse: 'refuse',
  AbortAnswer: 'abortAnswer',
  SetLimits: 'setLimits',
  SetReady: 'setReady',
  StopAccepting: 'stopAccepting',
  Exit: 'exit',
  SendPeerMessage: 'sendPeerMessage',
  AnswerPeer: 'answerPeer',
  FetchFromPeer: 'fetchFromPeer',
  AskAdapter: 'askAdapter',
  AnswerAdapter: 'answerAdapter',
  BorrowRate: 'borrowRate',
  AnswerRate: 'answerRate',
  ClaimController: 'claimController',
  KeepController: 'keepController',
  ReleaseController: 'releaseController',
  SendOrder: 'sendOrder',
  ReadEngineReport: 'readEngineReport',
  StartTimer: 'startTimer',
  CancelTimer: 'cancelTimer',
  Log: 'log',
  RecordRequest: 'recordRequest',
} as const;
export type EntryCommandKind = (typeof EntryCommandKind)[keyof typeof EntryCommandKind];

/** The parts of an entry VM; each has its own prefix in the log. */
export const EntryPart = {
  Request: 'request',
  Backend: 'backend',
  Configuration: 'config',
  Peer: 'peer',
  Placement: 'placement',
  Lifecycle: 'lifecycle',
  Store: 'store',
  Rate: 'rate',
} as const;
export type EntryPart = (typeof EntryPart)[keyof typeof EntryPart];

export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** The payload of each command, by kind. */
export interface EntryCommandPayloads {
  [EntryCommandKind.Dispatch]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly backendId: string;
    readonly address: string;
    readonly maxConnections: number;
    readonly workspace: string | null;
    /** Time that the backend server has. */
    readonly remainingMs: number;
    /** 0 is served first. */
    readonly urgency: number;
    /** Silence before the answer that the loop wants to hear of. */
    readonly silenceMs: number;
    /** The same between two events of a stream. */
    readonly eventSilenceMs: number;
    readonly isStream: boolean;
  };
  [EntryCommandKind.CancelAttempt]: { readonly requestId: string; readonly attempt: number };
  [EntryCommandKind.DeliverAnswer]: { readonly requestId: string; readonly attempt: number };
  [EntryCommandKind.Refuse]: { readonly requestId: string; readonly refusal: Refusal };
  /** Ends an answer that has begun so that the caller sees that it is not whole. */
  [EntryCommandKind.AbortAnswer]: { readonly requestId: string; readonly refusal: Refusal };
  [EntryCommandKind.SetLimits]: { readonly limits: CallerLimits };
  [EntryCommandKind.SetReady]: { readonly isReady: boolean };
  /** New connections are refused and idle ones closed. */
  [EntryCommandKind.StopAccepting]: Record<never, never>;
  [EntryCommandKind.Exit]: Record<never, never>;
  [EntryCommandKind.SendPeerMessage]: {
    readonly peerAddress: string;
    readonly reports: readonly VmReport[];
    readonly board: PlacementBoard | null;
  };
  [EntryCommandKind.AnswerPeer]: {
    readonly replyId: string;
    readonly reports: readonly VmReport[];
    readonly board: PlacementBoard | null;
  };
  /** Reads configuration and backend servers from a peer that has later ones. */
  [EntryCommandKind.FetchFromPeer]: { readonly peerAddress: string };
  [EntryCommandKind.AskAdapter]: {
    readonly peerAddress: string;
    readonly service: string;
    readonly model: string;
    readonly adapter: string;
    readonly failureDomain: string;
  };
  [EntryCommandKind.AnswerAdapter]: {
    readonly replyId: string;
    readonly backendId: string | null;
    /** Time until the adapter can be used. */
    readonly delayMs: number;
  };
  /** Asks a VM for tokens of a workspace's rate that a request lacks. */
  [EntryCommandKind.BorrowRate]: {
    readonly requestId: string;
    readonly vmId: string;
    readonly peerAddress: string;
    readonly workspace: string;
    readonly tokens: number;
  };
  [EntryCommandKind.AnswerRate]: {
    readonly replyId: string;
    readonly lentTokens: number;
    readonly spareTokens: number;
  };
  [EntryCommandKind.ClaimController]: Record<never, never>;
  [EntryCommandKind.KeepController]: { readonly fence: number };
  [EntryCommandKind.ReleaseController]: { readonly fence: number };
  [EntryCommandKind.SendOrder]: {
    readonly backendId: string;
    readonly address: string;
    readonly order: EngineOrder;
    readonly fence: number;
    /** The order must not leave after this time. */
    readonly validUntilMs: number;
  };
  [EntryCommandKind.ReadEngineReport]: { readonly backendId: string; readonly address: string };
  [EntryCommandKind.StartTimer]: {
    readonly timerId: string;
    readonly delayMs: number;
    readonly event: EntryEvent;
  };
  [EntryCommandKind.CancelTimer]: { readonly timerId: string };
  [EntryCommandKind.Log]: {
    readonly level: LogLevel;
    readonly part: EntryPart;
    readonly text: string;
    readonly fields: LogFields;
  };
  /** The last order of every request: its measure is kept, and all else of it dropped. */
  [EntryCommandKind.RecordRequest]: {
    readonly requestId: string;
    readonly measure: RequestMeasure;
  };
}

export type EntryCommandOf<K extends EntryCommandKind> = {
  readonly kind: K;
} & EntryCommandPayloads[K];
export type EntryCommand = { [K in EntryCommandKind]: EntryCommandOf<K> }[EntryCommandKind];

/** Creates a log order. */
export function createEntryLog(
  level: LogLevel,
  part: EntryPart,
  text: string,
  fields: LogFields = {},
): EntryCommand {
  return { kind: EntryCommandKind.Log, level, part, text, fields };
}

/** Creates an order for an event after a time; an earlier timer of the same id is replaced. */
export function createEntryTimer(
  timerId: string,
  delayMs: number,
  event: EntryEvent,
): EntryCommand {
  return { kind: EntryCommandKind.StartTimer, timerId, delayMs, event };
}
