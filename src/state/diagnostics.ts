/**
 * The typed failures of the system. Each has a fixed code and a message whose places `{0}`, `{1}` are
 * filled when it is created. Outer layers map a code to a status or an exit code; none of them writes
 * a failure as a bare string.
 */

/** The kind of party that can mend the failure. */
export const DiagnosticCategory = {
  Caller: 'caller',
  Operator: 'operator',
  Capacity: 'capacity',
  Failure: 'failure',
} as const;
export type DiagnosticCategory = (typeof DiagnosticCategory)[keyof typeof DiagnosticCategory];

/** One entry of the table: what the failure is, before its places are filled. */
export interface DiagnosticMessage {
  readonly code: number;
  readonly key: string;
  readonly category: DiagnosticCategory;
  readonly text: string;
}

function define(
  code: number,
  key: string,
  category: DiagnosticCategory,
  text: string,
): DiagnosticMessage {
  return { code, key, category, text };
}

const { Caller, Operator, Capacity, Failure } = DiagnosticCategory;

/** Every failure that the system reports. */
export const Diagnostics = {
  MissingKey: define(1001, 'missing_key', Caller, 'No bearer key was sent.'),
  UnknownKey: define(1002, 'unknown_key', Caller, 'The key is unknown or withdrawn.'),
  UnknownModel: define(1003, 'unknown_model', Caller, 'Model "{0}" does not exist.'),
  UnknownRoute: define(1004, 'unknown_route', Caller, 'No route serves {0} {1}.'),
  ModelNotAllowed: define(
    1005,
    'model_not_allowed',
    Caller,
    'Workspace "{0}" may not use model "{1}".',
  ),
  RouteNotAllowed: define(
    1006,
    'route_not_allowed',
    Caller,
    'Workspace "{0}" may not use route "{1}".',
  ),
  MethodNotAllowed: define(1007, 'method_not_allowed', Caller, 'Route "{0}" does not take {1}.'),
  MalformedBody: define(1008, 'malformed_body', Caller, 'The request body is not valid: {0}.'),
  BodyTooLarge: define(1009, 'body_too_large', Caller, 'The request body is over {0} bytes.'),
  BodyTimeout: define(
    1010,
    'body_timeout',
    Caller,
    'The request body did not arrive within {0} ms.',
  ),
  RequestTooLarge: define(
    1011,
    'request_too_large',
    Caller,
    'The request needs {0} tokens, and the burst of the workspace is {1}.',
  ),
  ClaimInProgress: define(
    1012,
    'claim_in_progress',
    Caller,
    'A request with this idempotency key is in progress.',
  ),
  ClaimHeldElsewhere: define(
    1013,
    'claim_held_elsewhere',
    Caller,
    'A request with this idempotency key was started by another VM that does not answer.',
  ),
  HeadersTooLarge: define(
    1014,
    'headers_too_large',
    Caller,
    'The request headers are over {0} bytes.',
  ),
  RateExceeded: define(
    1101,
    'rate_exceeded',
    Capacity,
    'Workspace "{0}" is over its rate; {1} tokens are needed.',
  ),
  NoBackendServer: define(
    1102,
    'no_backend_server',
    Capacity,
    'No backend server can take a request for "{0}".',
  ),
  Overloaded: define(1103, 'overloaded', Capacity, 'All backend servers for "{0}" are full.'),
  Stopping: define(1104, 'stopping', Capacity, 'This VM is stopping.'),
  DeadlineExceeded: define(
    1105,
    'deadline_exceeded',
    Capacity,
    'The request did not finish within {0} ms.',
  ),
  NotConfigured: define(1106, 'not_configured', Failure, 'This VM has no configuration yet.'),
  ConnectFailed: define(1201, 'connect_failed', Failure, 'No connection to backend server "{0}".'),
  AnswerLost: define(
    1202,
    'answer_lost',
    Failure,
    'Backend server "{0}" ended the connection before its answer.',
  ),
  AnswerTruncated: define(
    1203,
    'answer_truncated',
    Failure,
    'Backend server "{0}" ended its answer early.',
  ),
  AnswerMismatched: define(
    1204,
    'answer_mismatched',
    Failure,
    'Backend server "{0}" answered another request.',
  ),
  BackendRefused: define(
    1205,
    'backend_refused',
    Failure,
    'Backend server "{0}" refused the request with status {1}.',
  ),
  ClaimUnavailable: define(
    1206,
    'claim_unavailable',
    Failure,
    'The idempotency key could not be recorded in the store.',
  ),
  InternalError: define(1207, 'internal_error', Failure, 'An internal error occurred.'),
  InvalidDocument: define(2001, 'invalid_document', Operator, '{0}'),
  UnknownReference: define(2002, 'unknown_reference', Operator, '"{0}" names no {1}.'),
  DuplicateName: define(2003, 'duplicate_name', Operator, '"{0}" stands more than once.'),
  InvalidYaml: define(2004, 'invalid_yaml', Operator, 'Line {0}, column {1}: {2}'),
  DocumentTooLarge: define(
    2006,
    'document_too_large',
    Operator,
    'The section is {0} bytes; the store takes {1}.',
  ),
  RevisionConflict: define(
    2007,
    'revision_conflict',
    Operator,
    'Revision {0} is in force; the edit was made against {1}.',
  ),
  SectionForbidden: define(
    2008,
    'section_forbidden',
    Operator,
    'Team "{0}" may not edit section "{1}".',
  ),
  UnknownOperator: define(
    2009,
    'unknown_operator',
    Operator,
    'The operator token is missing or unknown.',
  ),
  UnknownSection: define(2010, 'unknown_section', Operator, '"{0}" is not a section.'),
  NotInForce: define(
    2011,
    'not_in_force',
    Failure,
    'Revision {0} is not yet in force on {1} live VMs.',
  ),
  StoreUnavailable: define(
    2101,
    'store_unavailable',
    Failure,
    'The store did not answer: nothing was changed.',
  ),
  StoreUnknown: define(
    2102,
    'store_unknown',
    Failure,
    'The answer of the store was lost: the change may have taken effect.',
  ),
  StoreRejected: define(
    2103,
    'store_rejected',
    Failure,
    'The store refused the call with status {0}.',
  ),
  StaleHead: define(2104, 'stale_head', Failure, 'Revision {0} was offered while {1} is in force.'),
  MissingBlob: define(2105, 'missing_blob', Failure, 'Section "{0}" with hash {1} was not found.'),
  InvalidSetting: define(
    3001,
    'invalid_setting',
    Operator,
    'Setting {0} has the value "{1}"; expected {2}.',
  ),
  UnknownSetting: define(3002, 'unknown_setting', Operator, 'Setting {0} does not exist.'),
  PeerUnavailable: define(4001, 'peer_unavailable', Failure, 'Peer "{0}" did not answer.'),
} as const;

/** A failure with its message filled in. `path` points into the operators' document. */
export interface Diagnostic {
  readonly code: number;
  readonly key: string;
  readonly category: DiagnosticCategory;
  readonly message: string;
  readonly path?: string;
}

function fillPlaces(text: string, values: readonly (string | number)[]): string {
  return text.replace(/\{(\d)\}/g, (place, index) => String(values[Number(index)] ?? place));
}

/** Creates a failure from its table entry and the values of its places. */
export function createDiagnostic(
  entry: DiagnosticMessage,
  ...values: (string | number)[]
): Diagnostic {
  return {
    code: entry.code,
    key: entry.key,
    category: entry.category,
    message: fillPlaces(entry.text, values),
  };
}

/** Creates a failure that points at a path of the operators' document, such as `vms.backendServers[0].name`. */
export function createDiagnosticAt(
  path: string,
  entry: DiagnosticMessage,
  ...values: (string | number)[]
): Diagnostic {
  return { ...createDiagnostic(entry, ...values), path };
}

/** Tells whether a failure was created from the given table entry. */
export function isDiagnostic(diagnostic: Diagnostic, entry: DiagnosticMessage): boolean {
  return diagnostic.code === entry.code;
}

/** Carries a diagnostic through code that can only throw. */
export class DiagnosticError extends Error {
  readonly diagnostic: Diagnostic;

  constructor(diagnostic: Diagnostic) {
    super(diagnostic.message);
    this.name = 'DiagnosticError';
    this.diagnostic = diagnostic;
  }
}
