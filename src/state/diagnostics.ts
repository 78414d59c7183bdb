/**
 * Defines every error that the system reports. Each has a fixed code and a message template whose placeholders
 * `{0}`, `{1}` are replaced when the diagnostic is created. Outer layers map the code to an HTTP status or an exit
 * code; no layer reports an error as a plain string.
 */

/**
 * What must change to resolve an error: the caller's request, the operators' settings or document, the available
 * capacity, or a part of the system that has failed.
 */
export const DiagnosticCategory = {
  Caller: 'caller',
  Operator: 'operator',
  Capacity: 'capacity',
  Failure: 'failure',
} as const;
export type DiagnosticCategory = (typeof DiagnosticCategory)[keyof typeof DiagnosticCategory];

/** An entry of the table of errors. */
export interface DiagnosticMessage {
  readonly code: number;
  readonly key: string;
  readonly category: DiagnosticCategory;
  readonly template: string;
}

function define(
  code: number,
  key: string,
  category: DiagnosticCategory,
  template: string,
): DiagnosticMessage {
  return { code, key, category, template };
}

const { Caller, Operator, Capacity, Failure } = DiagnosticCategory;

/** The table of all errors. */
export const Diagnostics = {
  MissingKey: define(1001, 'missing_key', Caller, 'The request has no API key.'),
  UnknownKey: define(1002, 'unknown_key', Caller, 'The API key is unknown or withdrawn.'),
  UnknownModel: define(1003, 'unknown_model', Caller, 'Model "{0}" does not exist.'),
  UnknownRoute: define(1004, 'unknown_route', Caller, 'No route matches {0} {1}.'),
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
  MethodNotAllowed: define(
    1007,
    'method_not_allowed',
    Caller,
    'Route "{0}" does not allow the method {1}.',
  ),
  MalformedBody: define(1008, 'malformed_body', Caller, 'The request body is invalid: {0}.'),
  BodyTooLarge: define(
    1009,
    'body_too_large',
    Caller,
    'The request body exceeds the limit of {0} bytes.',
  ),
  BodyTimeout: define(
    1010,
    'body_timeout',
    Caller,
    'The request body was not received within {0} ms.',
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
    'Another request with this idempotency key is in progress.',
  ),
  ClaimHeldElsewhere: define(
    1013,
    'claim_held_elsewhere',
    Caller,
    'A request with this idempotency key was started by another VM, which does not respond.',
  ),
  HeadersTooLarge: define(
    1014,
    'headers_too_large',
    Caller,
    'The request headers exceed the limit of {0} bytes.',
  ),
  RateExceeded: define(
    1101,
    'rate_exceeded',
    Capacity,
    'Workspace "{0}" has exceeded its rate limit; {1} tokens are needed.',
  ),
  NoBackendServer: define(
    1102,
    'no_backend_server',
    Capacity,
    'No backend server is available for "{0}".',
  ),
  Overloaded: define(
    1103,
    'overloaded',
    Capacity,
    'All backend servers for "{0}" are at capacity.',
  ),
  Stopping: define(1104, 'stopping', Capacity, 'This VM is stopping.'),
  MemoryExhausted: define(
    1110,
    'memory_exhausted',
    Capacity,
    'This VM holds request bodies up to its limit of {0} bytes.',
  ),
  UnknownStreamVersion: define(
    1111,
    'unknown_stream_version',
    Capacity,
    'The software version that began the stream of request "{0}" is not known.',
  ),
  StreamVersionGone: define(
    1112,
    'stream_version_gone',
    Capacity,
    'No backend server has the software version "{0}", which began the stream.',
  ),
  ServersUnconfirmed: define(
    1115,
    'servers_unconfirmed',
    Capacity,
    'This VM may not know all servers that were registered when request "{0}" was taken up.',
  ),
  ServersUnreachable: define(
    1113,
    'servers_unreachable',
    Failure,
    'This VM reaches no backend server of "{0}".',
  ),
  ServersEvacuated: define(
    1117,
    'servers_evacuated',
    Capacity,
    'All backend servers of "{0}" are in evacuated failure domains.',
  ),
  UnknownPeer: define(1114, 'unknown_peer', Failure, 'VM "{0}" is not listed in the store.'),
  PassingUnsupported: define(
    1116,
    'passing_unsupported',
    Failure,
    'VM "{0}" runs an earlier version, which takes no requests from other VMs.',
  ),
  VmBehind: define(
    1108,
    'vm_behind',
    Capacity,
    'This VM is {0} ms behind, longer than the request may take.',
  ),
  DeadlineExceeded: define(
    1105,
    'deadline_exceeded',
    Capacity,
    'The request was not completed within {0} ms.',
  ),
  NotConfigured: define(
    1106,
    'not_configured',
    Failure,
    'This VM has not received a configuration yet.',
  ),
  PromptQuarantined: define(
    1107,
    'prompt_quarantined',
    Failure,
    'Requests with prompt part {0} are rejected, because {1} backend servers crashed under it.',
  ),
  RequestQuarantined: define(
    1109,
    'request_quarantined',
    Failure,
    'Requests with the content {0} are rejected, because {1} backend servers crashed under it.',
  ),
  ConnectFailed: define(
    1201,
    'connect_failed',
    Failure,
    'The connection to backend server "{0}" failed.',
  ),
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
    'Backend server "{0}" ended its answer before it was complete.',
  ),
  AnswerMismatched: define(
    1204,
    'answer_mismatched',
    Failure,
    'Backend server "{0}" sent an answer that does not match the request.',
  ),
  BackendRefused: define(
    1205,
    'backend_refused',
    Failure,
    'Backend server "{0}" rejected the request with status {1}.',
  ),
  AnswerTooLarge: define(
    1208,
    'answer_too_large',
    Failure,
    'Backend server "{0}" sent a head, body or event of more than {1} bytes.',
  ),
  RequestRecalled: define(
    1209,
    'request_recalled',
    Failure,
    'The request was not sent to backend server "{0}", which wants no more requests.',
  ),
  RequestNotStarted: define(
    1210,
    'request_not_started',
    Failure,
    'The request to backend server "{0}" could not be started: {1}',
  ),
  StreamSpoiled: define(
    1211,
    'stream_spoiled',
    Failure,
    'Backend server "{0}" sent after event "{1}" what does not belong to the stream: {2}',
  ),
  ClaimUnavailable: define(
    1206,
    'claim_unavailable',
    Failure,
    'The idempotency key could not be recorded in the store.',
  ),
  InternalError: define(1207, 'internal_error', Failure, 'An internal error occurred.'),
  InvalidDocument: define(2001, 'invalid_document', Operator, '{0}'),
  UnknownReference: define(2002, 'unknown_reference', Operator, 'No {1} is named "{0}".'),
  DuplicateName: define(
    2003,
    'duplicate_name',
    Operator,
    '"{0}" occurs more than once; expected a unique value.',
  ),
  InvalidYaml: define(2004, 'invalid_yaml', Operator, 'Line {0}, column {1}: {2}'),
  DocumentTooLarge: define(
    2006,
    'document_too_large',
    Operator,
    'The section has {0} bytes; the store allows at most {1}.',
  ),
  RevisionConflict: define(
    2007,
    'revision_conflict',
    Operator,
    'The section has the hash {0}; the edit is based on the hash {1}.',
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
  UnknownSection: define(
    2010,
    'unknown_section',
    Operator,
    'Section "{0}" does not exist; expected operators, vms, models or workspaces.',
  ),
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
    'The store did not respond; nothing was changed.',
  ),
  StoreUnknown: define(
    2102,
    'store_unknown',
    Failure,
    'The response of the store was lost; the change may have been applied.',
  ),
  StoreRejected: define(
    2103,
    'store_rejected',
    Failure,
    'The store rejected the call with status {0}.',
  ),
  StaleHead: define(
    2104,
    'stale_head',
    Failure,
    'Revision {0} was received, but the newer revision {1} is in force.',
  ),
  MissingBlob: define(
    2105,
    'missing_blob',
    Failure,
    'The content of section "{0}" with the hash {1} was not found.',
  ),
  InvalidSetting: define(
    3001,
    'invalid_setting',
    Operator,
    'Setting {0} has the value "{1}"; expected {2}.',
  ),
  UnknownSetting: define(3002, 'unknown_setting', Operator, 'Setting {0} does not exist.'),
  InvalidSettingsFile: define(
    3003,
    'invalid_settings_file',
    Operator,
    'The settings file {0} is invalid: {1}.',
  ),
  PeerUnavailable: define(4001, 'peer_unavailable', Failure, 'Peer "{0}" did not respond.'),
} as const;

/** An error with its complete message. `path` is the location in the operators' document, if it has one. */
export interface Diagnostic {
  readonly code: number;
  readonly key: string;
  readonly category: DiagnosticCategory;
  readonly message: string;
  readonly path?: string;
}

function fillPlaceholders(text: string, values: readonly (string | number)[]): string {
  return text.replace(/\{(\d)\}/g, (placeholder, index) =>
    String(values[Number(index)] ?? placeholder),
  );
}

/** Creates a diagnostic from its table entry and the values of its placeholders. */
export function createDiagnostic(
  entry: DiagnosticMessage,
  ...values: (string | number)[]
): Diagnostic {
  return {
    code: entry.code,
    key: entry.key,
    category: entry.category,
    message: fillPlaceholders(entry.template, values),
  };
}

/** Creates a diagnostic for a path in the operators' document, such as `vms.backendServers[0].name`. */
export function createDiagnosticAt(
  path: string,
  entry: DiagnosticMessage,
  ...values: (string | number)[]
): Diagnostic {
  return { ...createDiagnostic(entry, ...values), path };
}

/** Returns the table entry with a code; undefined if there is none. */
export function findDiagnosticMessage(code: number): DiagnosticMessage | undefined {
  return Object.values(Diagnostics).find((entry) => entry.code === code);
}

/** Returns whether a diagnostic was created from the given table entry. */
export function hasDiagnosticCode(diagnostic: Diagnostic, entry: DiagnosticMessage): boolean {
  return diagnostic.code === entry.code;
}

/** An exception that carries a diagnostic through code that reports errors only by throwing. */
export class DiagnosticError extends Error {
  readonly diagnostic: Diagnostic;

  constructor(diagnostic: Diagnostic) {
    super(diagnostic.message);
    this.name = 'DiagnosticError';
    this.diagnostic = diagnostic;
  }
}
