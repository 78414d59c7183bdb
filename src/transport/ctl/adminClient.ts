/**
 * The command-line tool's calls of the administration API.
 */
import { Effect } from 'effect';
import type { Either } from 'purify-ts';
import {
  ADMIN_PATHS,
  type AdminError,
  decodeDocumentView,
  decodeEditAnswer,
  decodeErrors,
  decodeHistory,
  decodeKeyAnswer,
  decodeVmViews,
  type DocumentView,
  type EditMessage,
  type KeyMessage,
} from '../../protocol/adminMessages.js';
import { type BurnReport, decodeBurnReport } from '../../protocol/burnMessages.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../state/diagnostics.js';
import type { Edit } from '../../state/types.js';
import type { VmView } from '../../coordination/fleetView.js';
import { callHttp } from '../httpCall.js';

const CALL_TIMEOUT_MS = 15_000;
const HTTP_OK = 200;

/** The failures of a call, as the tool prints them. */
export type CtlFailure = readonly AdminError[];

type CtlEffect<T> = Effect.Effect<T, CtlFailure>;

/** The API as the tool calls it. */
export interface AdminClient {
  readonly getDocument: CtlEffect<DocumentView>;
  readonly validate: (message: EditMessage) => CtlEffect<void>;
  readonly edit: (message: EditMessage) => CtlEffect<number>;
  readonly issueKey: (message: KeyMessage) => CtlEffect<{ revision: number; key: string }>;
  readonly withdrawKey: (message: KeyMessage) => CtlEffect<number>;
  readonly getHistory: CtlEffect<readonly Edit[]>;
  readonly getVms: CtlEffect<readonly VmView[]>;
  readonly getBurn: CtlEffect<BurnReport>;
  /** Returns the answer of a path as it is. */
  readonly getText: (path: string) => CtlEffect<string>;
}

function toFailure(diagnostic: Diagnostic): CtlFailure {
  return [diagnostic];
}

function decodeAnswer<T>(decoded: Either<Diagnostic, T>): CtlEffect<T> {
  return decoded.caseOf<CtlEffect<T>>({
    Left: (diagnostic) => Effect.fail(toFailure(diagnostic)),
    Right: (value) => Effect.succeed(value),
  });
}

function decodeRefusal(address: string, text: string): CtlEffect<never> {
  return decodeErrors(text).caseOf<CtlEffect<never>>({
    Left: () => Effect.fail(toFailure(createDiagnostic(Diagnostics.PeerUnavailable, address))),
    Right: (errors) => Effect.fail(errors),
  });
}

/** Creates a client of the API at one address. */
export function createAdminClient(address: string, token: string): AdminClient {
  const call = (method: string, path: string, body: unknown): CtlEffect<string> =>
    callHttp({
      address,
      method,
      path,
      body: body === null ? null : JSON.stringify(body),
      headers: { authorization: `Bearer ${token}` },
      timeoutMs: CALL_TIMEOUT_MS,
    }).pipe(
      Effect.mapError(({ mayHaveRun }) => {
        const isUnknown = mayHaveRun && method !== 'GET';
        const entry = isUnknown ? Diagnostics.StoreUnknown : Diagnostics.PeerUnavailable;
        return toFailure(createDiagnostic(entry, address));
      }),
      Effect.flatMap(({ status, text }) =>
        status === HTTP_OK ? Effect.succeed(text) : decodeRefusal(address, text),
      ),
    );

  const decode =
    <T>(decoder: (text: string) => Either<Diagnostic, T>) =>
    (text: string): CtlEffect<T> =>
      decodeAnswer(decoder(text));

  const getRevision = (text: string): CtlEffect<number> =>
    Effect.map(decodeAnswer(decodeEditAnswer(text)), (answer) => answer.revision);

  return {
    getDocument: Effect.flatMap(
      call('GET', ADMIN_PATHS.Document, null),
      decode(decodeDocumentView),
    ),
    validate: (message) => Effect.asVoid(call('POST', ADMIN_PATHS.Validate, message)),
    edit: (message) => Effect.flatMap(call('POST', ADMIN_PATHS.Edits, message), getRevision),
    issueKey: (message) =>
      Effect.flatMap(call('POST', ADMIN_PATHS.Keys, message), decode(decodeKeyAnswer)),
    withdrawKey: (message) =>
      Effect.flatMap(call('DELETE', ADMIN_PATHS.Keys, message), getRevision),
    getHistory: Effect.flatMap(call('GET', ADMIN_PATHS.History, null), decode(decodeHistory)),
    getVms: Effect.flatMap(call('GET', ADMIN_PATHS.Vms, null), decode(decodeVmViews)),
    getBurn: Effect.flatMap(call('GET', ADMIN_PATHS.Burn, null), decode(decodeBurnReport)),
    getText: (path) => call('GET', path, null),
  };
}
