/**
 * Maps failures to their HTTP form: the status, the error body of the OpenAI-compatible API, and the headers.
 */
import { type Diagnostic, DiagnosticCategory, Diagnostics } from '../state/diagnostics.js';
import type { Refusal } from '../state/types.js';

/** The header that reports to a caller whether its request was run. */
export const RUN_STATUS_HEADER = 'x-gentiandeck-run';
const MS_PER_SECOND = 1000;

const STATUS_BY_CODE: ReadonlyMap<number, number> = new Map(
  (
    [
      [Diagnostics.MissingKey, 401],
      [Diagnostics.UnknownKey, 401],
      [Diagnostics.UnknownModel, 404],
      [Diagnostics.UnknownRoute, 404],
      [Diagnostics.ModelNotAllowed, 403],
      [Diagnostics.RouteNotAllowed, 403],
      [Diagnostics.MethodNotAllowed, 405],
      [Diagnostics.MalformedBody, 400],
      [Diagnostics.BodyTooLarge, 413],
      [Diagnostics.BodyTimeout, 408],
      [Diagnostics.RequestTooLarge, 400],
      [Diagnostics.ClaimInProgress, 409],
      [Diagnostics.ClaimHeldElsewhere, 409],
      [Diagnostics.RateExceeded, 429],
      [Diagnostics.NoBackendServer, 503],
      [Diagnostics.Overloaded, 503],
      [Diagnostics.Stopping, 503],
      [Diagnostics.MemoryExhausted, 503],
      [Diagnostics.VmBehind, 503],
      [Diagnostics.ServersUnreachable, 503],
      [Diagnostics.UnknownPeer, 503],
      [Diagnostics.PassingUnsupported, 503],
      [Diagnostics.NotConfigured, 503],
      [Diagnostics.PromptQuarantined, 503],
      [Diagnostics.RequestQuarantined, 503],
      [Diagnostics.ClaimUnavailable, 503],
      [Diagnostics.DeadlineExceeded, 504],
      [Diagnostics.InternalError, 500],
      [Diagnostics.InvalidDocument, 422],
      [Diagnostics.UnknownReference, 422],
      [Diagnostics.DuplicateName, 422],
      [Diagnostics.InvalidYaml, 422],
      [Diagnostics.DocumentTooLarge, 413],
      [Diagnostics.RevisionConflict, 409],
      [Diagnostics.SectionForbidden, 403],
      [Diagnostics.UnknownOperator, 401],
      [Diagnostics.UnknownSection, 404],
      [Diagnostics.StoreUnavailable, 503],
      [Diagnostics.StoreUnknown, 503],
    ] as const
  ).map(([entry, status]) => [entry.code, status]),
);

const DEFAULT_STATUS: Readonly<Record<DiagnosticCategory, number>> = {
  [DiagnosticCategory.Caller]: 400,
  [DiagnosticCategory.Operator]: 422,
  [DiagnosticCategory.Capacity]: 503,
  [DiagnosticCategory.Failure]: 502,
};

const ERROR_TYPES: Readonly<Record<DiagnosticCategory, string>> = {
  [DiagnosticCategory.Caller]: 'invalid_request_error',
  [DiagnosticCategory.Operator]: 'invalid_request_error',
  [DiagnosticCategory.Capacity]: 'server_error',
  [DiagnosticCategory.Failure]: 'server_error',
};

/** Returns the HTTP status of a failure. */
export function getStatus(diagnostic: Diagnostic): number {
  return STATUS_BY_CODE.get(diagnostic.code) ?? DEFAULT_STATUS[diagnostic.category];
}

function getErrorType(diagnostic: Diagnostic): string {
  return diagnostic.code === Diagnostics.RateExceeded.code
    ? 'rate_limit_error'
    : ERROR_TYPES[diagnostic.category];
}

/** Encodes a refusal as an error of the OpenAI-compatible API; `run` states whether the request may have run. */
export function encodeRefusal({ diagnostic, run }: Refusal): string {
  const { key: code, message } = diagnostic;
  const type = getErrorType(diagnostic);
  return JSON.stringify({ error: { message, type, param: null, code, run } });
}

/** Returns the headers of a refusal. */
export function getRefusalHeaders({ retryAfterMs, run }: Refusal): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [RUN_STATUS_HEADER]: run,
  };
  if (retryAfterMs !== null) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND)));
  }
  return headers;
}
