/**
 * Calls the administration API on behalf of the command-line tool and decodes its responses.
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

/** The errors of a failed call, which the tool prints. */
export type CtlErrors = readonly AdminError[];

type CtlEffect<T> = Effect.Effect<T, CtlErrors>;

/** A client of the administration API. The effects of edits return the new configuration revision. */
export interface AdminClient {
  readonly getDocument: CtlEffect<DocumentView>;
  readonly validate: (message: EditMessage) => CtlEffect<void>;
  readonly edit: (message: EditMessage) => CtlEffect<number>;
  readonly issueKey: (message: KeyMessage) => CtlEffect<{ revision: number; key: string }>;
  readonly withdrawKey: (message: KeyMessage) => CtlEffect<number>;
  readonly getHistory: CtlEffect<readonly Edit[]>;
  readonly getVms: CtlEffect<readonly VmView[]>;
  readonly getBurnReport: CtlEffect<BurnReport>;
  /** Sends a GET request for a path and returns the response body unchanged. */
  readonly getText: (path: string) => CtlEffect<string>;
}

function toErrors(diagnostic: Diagnostic): CtlErrors {
  return [diagnostic];
}

function eitherToEffect<T>(either: Either<Diagnostic, T>): CtlEffect<T> {
  return either.caseOf<CtlEffect<T>>({
    Left: (diagnostic) => Effect.fail(toErrors(diagnostic)),
    Right: (value) => Effect.succeed(value),
  });
}

function decodeErrorResponse(address: string, text: string): CtlEffect<never> {
  return decodeErrors(text).caseOf<CtlEffect<never>>({
    Left: () => Effect.fail(toErrors(createDiagnostic(Diagnostics.PeerUnavailable, address))),
    Right: (errors) => Effect.fail(errors),
  });
}

/** Creates a client of the administration API at an address. */
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
        const isOutcomeUnknown = mayHaveRun && method !== 'GET';
        const definition = isOutcomeUnknown
          ? Diagnostics.StoreUnknown
          : Diagnostics.PeerUnavailable;
        return toErrors(createDiagnostic(definition, address));
      }),
      Effect.flatMap(({ status, text }) =>
        status === HTTP_OK ? Effect.succeed(text) : decodeErrorResponse(address, text),
      ),
    );

  const decode =
    <T>(decoder: (text: string) => Either<Diagnostic, T>) =>
    (text: string): CtlEffect<T> =>
      eitherToEffect(decoder(text));

  const decodeRevision = (text: string): CtlEffect<number> =>
    Effect.map(eitherToEffect(decodeEditAnswer(text)), (result) => result.revision);

  return {
    getDocument: Effect.flatMap(
      call('GET', ADMIN_PATHS.Document, null),
      decode(decodeDocumentView),
    ),
    validate: (message) => Effect.asVoid(call('POST', ADMIN_PATHS.Validate, message)),
    edit: (message) => Effect.flatMap(call('POST', ADMIN_PATHS.Edits, message), decodeRevision),
    issueKey: (message) =>
      Effect.flatMap(call('POST', ADMIN_PATHS.Keys, message), decode(decodeKeyAnswer)),
    withdrawKey: (message) =>
      Effect.flatMap(call('DELETE', ADMIN_PATHS.Keys, message), decodeRevision),
    getHistory: Effect.flatMap(call('GET', ADMIN_PATHS.History, null), decode(decodeHistory)),
    getVms: Effect.flatMap(call('GET', ADMIN_PATHS.Vms, null), decode(decodeVmViews)),
    getBurnReport: Effect.flatMap(call('GET', ADMIN_PATHS.Burn, null), decode(decodeBurnReport)),
    getText: (path) => call('GET', path, null),
  };
}
