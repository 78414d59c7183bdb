/**
 * Events that the loop receives and commands that it returns. Both are plain data without bodies,
 * sockets or keys, so that a session can be recorded, compared with a golden file and replayed.
 */
import type { Diagnostic } from '../state/diagnostics.js';
import type { Order, PlacementPlan } from '../state/placementPlan.js';
import type { ShareTable } from '../state/shareTable.js';
import type { AnswerSpoilReason } from '../state/spoiledAnswers.js';
import type {
  Document,
  GossipMessage,
  Head,
  LoadReport,
  Refusal,
  RequestInfo,
  RunStatus,
  RunState,
} from '../state/types.js';

/** Kinds of events that the loop of a VM handles. */
export const EventKind = {
  RequestArrived: 'requestArrived',
  ClaimAnswered: 'claimAnswered',
  LoanAnswered: 'loanAnswered',
  TokenWaitElapsed: 'tokenWaitElapsed',
  AnswerStarted: 'answerStarted',
  AnswerCompleted: 'answerCompleted',
  DispatchFailed: 'dispatchFailed',
  AnswerSpoiled: 'answerSpoiled',
  CallerDisconnected: 'callerDisconnected',
  RequestTimedOut: 'requestTimedOut',
  LoanRequested: 'loanRequested',
  GossipReceived: 'gossipReceived',
  GossipTick: 'gossipTick',
  ConfigurationReceived: 'configurationReceived',
  ConfigurationRejected: 'configurationRejected',
  ShareTick: 'shareTick',
  ShareTableRead: 'shareTableRead',
  ShareWriteAnswered: 'shareWriteAnswered',
  StoreFailed: 'storeFailed',
  VmListRead: 'vmListRead',
  LoadPollTick: 'loadPollTick',
  LoadReported: 'loadReported',
  LoadPollFailed: 'loadPollFailed',
  ControllerTick: 'controllerTick',
  ControllerLeaseAnswered: 'controllerLeaseAnswered',
  PlanRead: 'planRead',
  PlanWriteAnswered: 'planWriteAnswered',
  OrderAnswered: 'orderAnswered',
  StopRequested: 'stopRequested',
  StopTick: 'stopTick',
} as const;
export type EventKind = (typeof EventKind)[keyof typeof EventKind];

/** Result of claiming an idempotency key. */
export const ClaimOutcome = {
  Won: 'won',
  /** An earlier request with the key has completed, and its answer is available. */
  Answered: 'answered',
  InProgress: 'inProgress',
  /** Claimed through a VM that does not respond, or the answer is no longer stored. */
  HeldElsewhere: 'heldElsewhere',
  Unavailable: 'unavailable',
} as const;
export type ClaimOutcome = (typeof ClaimOutcome)[keyof typeof ClaimOutcome];

/** Result of an order to an engine. Without a confirmation, the order may still take effect. */
export const OrderOutcome = {
  Accepted: 'accepted',
  Fenced: 'fenced',
  Unconfirmed: 'lost',
} as const;
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

/** State of a VM in the platform's list. */
export const VmListState = { Live: 'live', Leaving: 'leaving' } as const;
export type VmListState = (typeof VmListState)[keyof typeof VmListState];

/** A VM of the system as listed by the platform. */
export interface ListedVm {
  readonly vmId: string;
  readonly peerAddress: string;
  readonly state: VmListState;
}

/** The payload of each event, by kind. */
export interface EventPayloads {
  [EventKind.RequestArrived]: { readonly request: RequestInfo };
  [EventKind.ClaimAnswered]: {
    readonly requestId: string;
    readonly claimId: string;
    readonly outcome: ClaimOutcome;
  };
  [EventKind.LoanAnswered]: {
    /** Null for a loan that rebalances the slices and belongs to no request. */
    readonly requestId: string | null;
    readonly peerVmId: string;
    readonly workspace: string;
    readonly askedAtMs: number;
    readonly spendWithinMs: number;
    readonly grantedTokens: number;
    /** Tokens that the lender has left after the loan; null if it did not respond. */
    readonly leftTokens: number | null;
  };
  [EventKind.TokenWaitElapsed]: { readonly workspace: string };
  [EventKind.AnswerStarted]: { readonly requestId: string; readonly attempt: number };
  [EventKind.AnswerCompleted]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly generatedTokens: number;
    /** Gaps between consecutive tokens in milliseconds; zero for plain services. */
    readonly maxGapMs: number;
    readonly meanGapMs: number;
  };
  [EventKind.DispatchFailed]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly runState: RunState;
    readonly diagnostic: Diagnostic;
    /** True if the backend server reported that it did not start the request. */
    readonly isRefusedByServer: boolean;
    /** Tokens that the caller has received over all attempts. */
    readonly deliveredTokens: number;
    /** True once any byte of an answer has been sent to the caller. */
    readonly isAnswerBegun: boolean;
  };
  /** The answer of a dispatch does not belong to the request. Posted before the failure of the dispatch. */
  [EventKind.AnswerSpoiled]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly reason: AnswerSpoilReason;
  };
  [EventKind.CallerDisconnected]: { readonly requestId: string; readonly deliveredTokens: number };
  [EventKind.RequestTimedOut]: { readonly requestId: string };
  [EventKind.LoanRequested]: {
    readonly loanId: string;
    readonly workspace: string;
    readonly tokens: number;
    readonly spendWithinMs: number;
  };
  [EventKind.GossipReceived]: {
    readonly message: GossipMessage;
    /** Identifies the reply that the sender waits for; null if it waits for none. */
    readonly replyId: string | null;
  };
  [EventKind.GossipTick]: Record<never, never>;
  [EventKind.ConfigurationReceived]: { readonly head: Head; readonly document: Document };
  [EventKind.ConfigurationRejected]: {
    readonly revision: number;
    readonly diagnostic: Diagnostic;
  };
  [EventKind.ShareTick]: Record<never, never>;
  [EventKind.ShareTableRead]: { readonly table: ShareTable; readonly version: number };
  [EventKind.ShareWriteAnswered]: {
    readonly table: ShareTable;
    /** The new version; null if the write failed or its outcome is unknown. */
    readonly version: number | null;
  };
  [EventKind.StoreFailed]: { readonly diagnostic: Diagnostic };
  [EventKind.VmListRead]: {
    readonly vms: readonly ListedVm[];
  };
  [EventKind.LoadPollTick]: Record<never, never>;
  [EventKind.LoadReported]: { readonly server: string; readonly report: LoadReport };
  [EventKind.LoadPollFailed]: { readonly server: string };
  [EventKind.ControllerTick]: Record<never, never>;
  [EventKind.ControllerLeaseAnswered]: {
    /** The fencing token; null if the lease was not acquired or renewed. */
    readonly fence: number | null;
    /** True if this VM certainly does not hold the lease, or not that of the named term. */
    readonly isLost: boolean;
    readonly sentAtMs: number;
  };
  [EventKind.PlanRead]: { readonly plan: PlacementPlan; readonly version: number };
  [EventKind.PlanWriteAnswered]: {
    readonly plan: PlacementPlan;
    /** The new version; null if the write failed or its outcome is unknown. */
    readonly version: number | null;
  };
  [EventKind.OrderAnswered]: {
    readonly server: string;
    readonly orderId: string;
    /** The fencing token that the order was sent with. */
    readonly fence: number;
    readonly outcome: OrderOutcome;
  };
  [EventKind.StopRequested]: Record<never, never>;
  [EventKind.StopTick]: Record<never, never>;
}

export type EventOf<K extends EventKind> = { readonly kind: K } & EventPayloads[K];
export type VmEvent = { [K in EventKind]: EventOf<K> }[EventKind];

/** Kinds of commands that event handlers return. */
export const CommandKind = {
  Dispatch: 'dispatch',
  CancelDispatch: 'cancelDispatch',
  Refuse: 'refuse',
  AbortAnswer: 'abortAnswer',
  ClaimIdempotencyKey: 'claimIdempotencyKey',
  EndClaim: 'endClaim',
  ReplayAnswer: 'replayAnswer',
  RequestLoan: 'requestLoan',
  ReplyToLoanRequest: 'replyToLoanRequest',
  SendGossip: 'sendGossip',
  ReplyToGossip: 'replyToGossip',
  FetchConfiguration: 'fetchConfiguration',
  ReadShareTable: 'readShareTable',
  WriteShareTable: 'writeShareTable',
  AcquireOrRenewControllerLease: 'acquireOrRenewControllerLease',
  ReadPlan: 'readPlan',
  WritePlan: 'writePlan',
  SendOrder: 'sendOrder',
  PollLoad: 'pollLoad',
  StartTimer: 'startTimer',
  CancelTimer: 'cancelTimer',
  SetReady: 'setReady',
  Exit: 'exit',
  Log: 'log',
  RecordRequest: 'recordRequest',
  RecordSpoiledAnswer: 'recordSpoiledAnswer',
} as const;
export type CommandKind = (typeof CommandKind)[keyof typeof CommandKind];

/** Log prefixes, one for each subsystem. */
export const LogPrefix = {
  Request: 'request',
  Peer: 'peer',
  Configuration: 'config',
  Share: 'share',
  Server: 'server',
  Placement: 'placement',
  Lifecycle: 'lifecycle',
  Store: 'store',
  Admin: 'admin',
} as const;
export type LogPrefix = (typeof LogPrefix)[keyof typeof LogPrefix];

export const LogLevel = { Debug: 'debug', Info: 'info', Warn: 'warn', Error: 'error' } as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** How a request ended, for metrics. */
export const RequestOutcome = {
  Completed: 'completed',
  Refused: 'refused',
  Broken: 'broken',
  Abandoned: 'abandoned',
} as const;
export type RequestOutcome = (typeof RequestOutcome)[keyof typeof RequestOutcome];

/** Metrics of one ended request. */
export interface RequestMetrics {
  readonly workspace: string;
  readonly target: string;
  readonly outcome: RequestOutcome;
  readonly diagnosticKey: string | null;
  readonly firstTokenMs: number | null;
  readonly maxGapMs: number;
  readonly meanGapMs: number;
  readonly durationMs: number;
  readonly tokens: number;
}

/** The payload of each command, by kind. */
export interface CommandPayloads {
  [CommandKind.Dispatch]: {
    readonly requestId: string;
    readonly attempt: number;
    readonly server: string;
    readonly address: string;
    readonly workspace: string | null;
    readonly isIdempotent: boolean;
    /** Tokens of the answer that the caller has already received. */
    readonly resumeFromToken: number;
  };
  [CommandKind.CancelDispatch]: { readonly requestId: string; readonly attempt: number };
  [CommandKind.Refuse]: { readonly requestId: string; readonly refusal: Refusal };
  /** Ends an answer that has already started by sending an error to the caller. */
  [CommandKind.AbortAnswer]: { readonly requestId: string; readonly refusal: Refusal };
  [CommandKind.ClaimIdempotencyKey]: { readonly requestId: string; readonly claimId: string };
  /** Ends a claim. If the request did not run, another request with the same key may claim it. */
  [CommandKind.EndClaim]: {
    readonly requestId: string;
    readonly claimId: string;
    readonly run: RunStatus;
    readonly isAnswered: boolean;
  };
  [CommandKind.ReplayAnswer]: { readonly requestId: string };
  [CommandKind.RequestLoan]: {
    readonly requestId: string | null;
    readonly peerVmId: string;
    readonly peerAddress: string;
    readonly workspace: string;
    readonly tokens: number;
    readonly askedAtMs: number;
    /** The loan is discarded if it arrives later than this after `askedAtMs`. */
    readonly spendWithinMs: number;
  };
  [CommandKind.ReplyToLoanRequest]: {
    readonly loanId: string;
    readonly grantedTokens: number;
    readonly leftTokens: number;
  };
  [CommandKind.SendGossip]: {
    readonly peerVmId: string;
    readonly peerAddress: string;
    readonly message: GossipMessage;
  };
  [CommandKind.ReplyToGossip]: { readonly replyId: string; readonly message: GossipMessage };
  [CommandKind.FetchConfiguration]: {
    readonly peerAddress: string;
    readonly aboveRevision: number;
  };
  [CommandKind.ReadShareTable]: Record<never, never>;
  [CommandKind.WriteShareTable]: { readonly table: ShareTable; readonly expectedVersion: number };
  [CommandKind.AcquireOrRenewControllerLease]: {
    readonly failureDomain: string;
    readonly ttlMs: number;
    readonly isHeld: boolean;
    readonly sentAtMs: number;
  };
  [CommandKind.ReadPlan]: { readonly failureDomain: string };
  [CommandKind.WritePlan]: {
    readonly failureDomain: string;
    readonly plan: PlacementPlan;
    readonly expectedVersion: number;
  };
  [CommandKind.SendOrder]: {
    readonly server: string;
    readonly address: string;
    readonly order: Order;
    readonly fence: number;
  };
  [CommandKind.PollLoad]: { readonly server: string; readonly address: string };
  [CommandKind.StartTimer]: {
    readonly timerId: string;
    readonly delayMs: number;
    readonly event: VmEvent;
  };
  [CommandKind.CancelTimer]: { readonly timerId: string };
  [CommandKind.SetReady]: { readonly isReady: boolean };
  [CommandKind.Exit]: Record<never, never>;
  [CommandKind.Log]: {
    readonly level: LogLevel;
    readonly part: LogPrefix;
    readonly text: string;
    readonly fields: Readonly<Record<string, string | number | boolean>>;
  };
  /** The last command of every request: records its metrics and releases everything else. */
  [CommandKind.RecordRequest]: { readonly requestId: string; readonly measure: RequestMetrics };
  [CommandKind.RecordSpoiledAnswer]: {
    readonly server: string;
    readonly reason: AnswerSpoilReason;
  };
}

export type CommandOf<K extends CommandKind> = { readonly kind: K } & CommandPayloads[K];
export type Command = { [K in CommandKind]: CommandOf<K> }[CommandKind];

/** Creates a command that writes a log line. */
export function createLog(
  level: LogLevel,
  part: LogPrefix,
  text: string,
  fields: Readonly<Record<string, string | number | boolean>> = {},
): Command {
  return { kind: CommandKind.Log, level, part, text, fields };
}

/** Kinds of events that carry no data and fire periodically, each on its own timer. */
export type TickKind =
  | typeof EventKind.GossipTick
  | typeof EventKind.ShareTick
  | typeof EventKind.LoadPollTick
  | typeof EventKind.ControllerTick
  | typeof EventKind.StopTick;

/** Creates a command that schedules the next tick of a kind. */
export function createTickTimer(kind: TickKind, delayMs: number): Command {
  return { kind: CommandKind.StartTimer, timerId: kind, delayMs, event: { kind } };
}
