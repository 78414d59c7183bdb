/**
 * Maps the refusal of a forwarded request to its status and headers. The statuses 429 and 503 guarantee to the caller
 * that the request was not run; a request that may have run ends with 502 or 504.
 */
import { type Diagnostic, Diagnostics } from '../../state/diagnostics.js';
import { type Refusal, RunStatus } from '../../state/types.js';
import { getStatus, RUN_STATUS_HEADER } from '../statusCodes.js';

const HttpStatus = {
  ServerError: 500,
  BadGateway: 502,
  Unavailable: 503,
  GatewayTimeout: 504,
} as const;

const MS_PER_SECOND = 1000;

function getStatusIfMaybeRun({ code }: Diagnostic): number {
  return code === Diagnostics.DeadlineExceeded.code
    ? HttpStatus.GatewayTimeout
    : HttpStatus.BadGateway;
}

/** Returns the status of a refusal; 502 or 504 if the request may have run. */
export function getForwardRefusalStatus({ diagnostic, run }: Refusal): number {
  if (run !== RunStatus.NotRun) {
    return getStatusIfMaybeRun(diagnostic);
  }
  const status = getStatus(diagnostic);
  return status >= HttpStatus.ServerError ? HttpStatus.Unavailable : status;
}

/** Returns the headers of a refusal as alternating names and values. `Retry-After` is in seconds with fractions. */
export function getForwardRefusalHeaders({ retryAfterMs, run }: Refusal): string[] {
  const headers = ['Content-Type', 'application/json', RUN_STATUS_HEADER, run];
  return retryAfterMs === null
    ? headers
    : [...headers, 'Retry-After', String(Math.ceil(retryAfterMs) / MS_PER_SECOND)];
}
