/**
 * Defines the interface between an entry VM and the wire format of a platform: its paths, store keys, headers and
 * documents. An implementation only encodes and decodes; it makes no decisions.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Either } from 'purify-ts';
import type {
  EngineOrder,
  EngineOrderOutcome,
  EngineReport,
} from '../../coordination/entry/engineOrder.js';
import type { ForwardRequest } from '../../coordination/entry/events.js';
import type { Diagnostic } from '../../state/diagnostics.js';
import type { BackendEntry, BackendLoad } from '../../state/entry/backends.js';
import type { Deployment } from '../../state/entry/deployment.js';

/** Data decoded from the URL and the headers of a caller's request. */
export type RequestHead = Omit<ForwardRequest, 'contentDigest' | 'requestId'>;

/** Data that the VM adds to the headers of a forwarded request. */
export interface ForwardHead {
  readonly workspace: string | null;
  /** Id of the backend server that the request is meant for. Any other server rejects it. Null if it goes to another VM. */
  readonly expectedServer: string | null;
  readonly remainingMs: number;
  /** Null if the request goes to another VM. */
  readonly urgency: number | null;
  /**
   * Id of the last event that was sent to the caller. If null, the stream starts after the event that the caller's own
   * headers name, else at its beginning.
   */
  readonly resumeAfter: string | null;
}

/** Data decoded from the status and the headers of a backend server's response. */
export interface AnswerHead {
  /** Id of the request that is answered; null if the response has no id. */
  readonly callerRequestId: string | null;
  /** True if the server reports that it did not run the request. */
  readonly isRefused: boolean;
  /** True if another server is at the address, or the server does not have the model. */
  readonly isMisdirected: boolean;
  readonly load: BackendLoad | null;
  readonly limit: LimitStatement;
  readonly brittleness: BrittlenessStatement;
  readonly statement: ServerStatement;
}

/** Whether a backend server says in an answer that it is leaving. */
export const LeavingStatement = {
  None: 'none',
  Leaving: 'leaving',
  Malformed: 'malformed',
} as const;
export type LeavingStatement = (typeof LeavingStatement)[keyof typeof LeavingStatement];

/** What a backend server says of itself in the head of any answer. */
export interface ServerStatement {
  readonly leaving: LeavingStatement;
  /** Time for which the server wants nothing from this VM; null if it asks for none. */
  readonly pauseMs: number | null;
  readonly isPauseMalformed: boolean;
  /** Time for which the server stays cold; absent if it states none. */
  readonly coldMs?: number;
}

/** What an answer states about the requests that its server takes from all VMs together. */
export interface LimitStatement {
  /** False if the answer does not show whether there is a limit. */
  readonly isStated: boolean;
  /** Null if there is no limit. */
  readonly requestsPerSecond: number | null;
}

/** What an answer states about the rejections that its server bears. */
export interface BrittlenessStatement {
  /** False if the answer does not show whether the server is brittle. */
  readonly isStated: boolean;
  /** Null if the server is not brittle. */
  readonly maxRejectionsPerSecond: number | null;
}

/** Header names and values in alternation, as Node.js has raw headers. */
export type OutgoingHead = readonly string[];

/** The wire format of one platform. */
export interface EntryWire {
  /** Path of the platform's readiness checks. */
  readonly readyPath: string;
  readonly configurationKey: string;
  readonly backendsPrefix: string;
  /** Prefix of the keys that evacuate failure domains; the name of a failure domain follows. */
  readonly evacuationsPrefix: string;
  readonly engineOrderPath: string;
  readonly engineReportPath: string;
  /** Matches a line that a backend server may put before the fields of an event, with its line end, at the start of a text. */
  readonly eventAnnotationPattern: RegExp;
  readonly decodeConfiguration: (text: string) => Either<Diagnostic, Deployment>;
  readonly decodeBackendEntry: (key: string, text: string) => Either<Diagnostic, BackendEntry>;
  readonly decodeEngineReport: (text: string) => Either<Diagnostic, EngineReport>;
  readonly decodeRequestHead: (
    url: string,
    rawHeaders: readonly string[],
  ) => Either<Diagnostic, RequestHead>;
  readonly encodeForwardHead: (rawHeaders: readonly string[], head: ForwardHead) => string[];
  readonly decodeServerStatement: (status: number, headers: IncomingHttpHeaders) => ServerStatement;
  readonly decodeAnswerHead: (status: number, headers: IncomingHttpHeaders) => AnswerHead;
  /** Decodes the id that a backend server states in its answer to a health check; null if it states none. */
  readonly decodeServerId: (headers: IncomingHttpHeaders) => string | null;
  /** Encodes the headers of a backend server's response for the caller. */
  readonly encodeAnswerHead: (rawHeaders: readonly string[]) => OutgoingHead;
  /** Encodes the headers of a response that the VM itself generates. */
  readonly encodeOwnAnswerHead: (callerRequestId: string) => OutgoingHead;
  readonly encodeEngineOrder: (order: EngineOrder, holder: string, fence: number) => string;
  /** Encodes the headers of a request to an engine, for an order or its report. */
  readonly encodeEngineRequestHead: (serverId: string) => Readonly<Record<string, string>>;
  readonly decodeEngineOrderStatus: (status: number) => EngineOrderOutcome;
}
