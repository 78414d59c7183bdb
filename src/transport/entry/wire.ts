/**
 * What a platform's adapter translates for the entry VM: its names on the wire, in both directions. An
 * adapter decides nothing.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Either } from 'purify-ts';
import type {
  BackendLoad,
  EngineOrder,
  EngineOrderOutcome,
  EngineReport,
  ForwardRequest,
} from '../../coordination/entry/events.js';
import type { Diagnostic } from '../../state/diagnostics.js';
import type { BackendEntry } from '../../state/entry/backends.js';
import type { Deployment } from '../../state/entry/deployment.js';

/** What the head of a caller's request says. */
export type RequestHead = Omit<ForwardRequest, 'requestId'>;

/** What the VM adds to a request that it sends on. */
export interface ForwardHead {
  readonly workspace: string | null;
  /** Any other backend server refuses the request. */
  readonly expectedServer: string;
  readonly remainingMs: number;
  readonly urgency: number;
  /** Id of the last event that the caller has; null to begin at the start, or where the caller says. */
  readonly resumeAfter: string | null;
}

/** What the head of an answer says of the request and the server. */
export interface AnswerHead {
  /** The request that it answers; null if it names none. */
  readonly callerRequestId: string | null;
  /** The server says that it did not run the request. */
  readonly isRefused: boolean;
  /** Another server is at the address, or the server lacks the model. */
  readonly isMisdirected: boolean;
  readonly load: BackendLoad | null;
}

/** Names and values in turn. */
export type OutgoingHead = readonly string[];

/** The translation of one platform. */
export interface EntryWire {
  /** Path at which the platform asks whether the VM is ready. */
  readonly readyPath: string;
  readonly configurationKey: string;
  readonly backendsPrefix: string;
  readonly engineOrderPath: string;
  readonly engineReportPath: string;
  readonly decodeConfiguration: (text: string) => Either<Diagnostic, Deployment>;
  readonly decodeBackendEntry: (key: string, text: string) => Either<Diagnostic, BackendEntry>;
  readonly decodeEngineReport: (text: string) => Either<Diagnostic, EngineReport>;
  readonly decodeRequestHead: (
    url: string,
    rawHeaders: readonly string[],
  ) => Either<Diagnostic, RequestHead>;
  readonly encodeForwardHead: (rawHeaders: readonly string[], head: ForwardHead) => string[];
  readonly decodeAnswerHead: (status: number, headers: IncomingHttpHeaders) => AnswerHead;
  readonly encodeAnswerHead: (rawHeaders: readonly string[]) => OutgoingHead;
  readonly encodeOwnAnswerHead: (callerRequestId: string) => OutgoingHead;
  readonly encodeEngineOrder: (order: EngineOrder, holder: string, fence: number) => string;
  readonly encodeEngineOrderHead: (serverId: string) => Readonly<Record<string, string>>;
  readonly decodeEngineOrderStatus: (status: number) => EngineOrderOutcome;
}
