/**
 * Implements the client of a key-value service with the JSON form of the etcd v3 API.
 */
import http from 'node:http';
import { Effect } from 'effect';
import type { Either } from 'purify-ts';
import {
  decodeLeaseGrant,
  decodeLeaseKeepAlive,
  decodeRange,
  decodeSwap,
  decodeVmList,
  decodeWatch,
  encodeLeaseGrant,
  encodeLeaseKeepAlive,
  encodeRange,
  encodeSwap,
  encodeWatch,
  createStoreRejection,
  STORE_PATHS,
  type StoredValue,
  VM_LIST_PATH,
} from '../protocol/storeMessages.js';
import type { ListedVm } from '../coordination/events.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { callHttp, type HttpCallFailure, splitAddress } from './httpCall.js';
import type { KeyValueStore } from './keyValueStore.js';

const HTTP_OK = 200;
const HTTP_SERVER_ERROR = 500;
/** A watch that receives nothing for this time fails and has to be reopened, since its connection may be dead. */
const WATCH_IDLE_MS = 30_000;
const MAX_WATCH_LINE_LENGTH = 4_194_304;

/** Client of an etcd v3 store that also reads the platform's list of VMs. */
export interface EtcdStore extends KeyValueStore {
  /** Calls `onValue` with each value of a key from a version on. Fails when the watch ends. */
  readonly watch: (
    key: string,
    fromVersion: number,
    onValue: (value: StoredValue) => void,
  ) => Effect.Effect<never, Diagnostic>;
  readonly listVms: Effect.Effect<readonly ListedVm[], Diagnostic>;
}

type FailureMapper = (failure: HttpCallFailure) => Diagnostic;

/** A failed read changed nothing, so it always maps to `StoreUnavailable`. */
const mapReadFailure: FailureMapper = () => createDiagnostic(Diagnostics.StoreUnavailable);

/** A failed write that may have reached the store maps to `StoreUnknown`. */
const mapWriteFailure: FailureMapper = ({ mayHaveRun }) =>
  createDiagnostic(mayHaveRun ? Diagnostics.StoreUnknown : Diagnostics.StoreUnavailable);

/** Converts a decoding result to an effect. */
export function fromEither<T>(either: Either<Diagnostic, T>): Effect.Effect<T, Diagnostic> {
  return either.caseOf<Effect.Effect<T, Diagnostic>>({
    Left: (diagnostic) => Effect.fail(diagnostic),
    Right: (value) => Effect.succeed(value),
  });
}

function watchKey(
  address: string,
  key: string,
  fromVersion: number,
  onValue: (value: StoredValue) => void,
): Effect.Effect<never, Diagnostic> {
  return Effect.callback<never, Diagnostic>((resume) => {
    const failWith = (diagnostic: Diagnostic): void => {
      resume(Effect.fail(diagnostic));
    };
    const fail = (): void => failWith(createDiagnostic(Diagnostics.StoreUnavailable));
    let incompleteLine = '';
    let latestVersion = fromVersion - 1;
    let isTrusted = true;
    const receiveValues = (values: readonly StoredValue[]): void =>
      values.forEach((value) => {
        isTrusted &&= value.version >= latestVersion;
        if (isTrusted && value.version > latestVersion) {
          latestVersion = value.version;
          onValue(value);
        }
      });
    /** After one line that cannot be right, what is missing shows only in a new read. */
    const receiveLine = (line: string): void => {
      if (!isTrusted || line.trim() === '') {
        return;
      }
      decodeWatch(line, key).caseOf({
        Left: (diagnostic) => {
          isTrusted = false;
          failWith(diagnostic);
        },
        Right: receiveValues,
      });
      if (!isTrusted) {
        fail();
      }
    };
    const receiveText = (text: string): void => {
      const lines = (incompleteLine + text).split('\n');
      incompleteLine = lines.pop() ?? '';
      lines.forEach(receiveLine);
    };
    const request = http.request(
      { ...splitAddress(address), method: 'POST', path: STORE_PATHS.Watch, timeout: WATCH_IDLE_MS },
      (response) => {
        response.setEncoding('utf8');
        response.on('data', (text: string) => {
          receiveText(text);
          if (incompleteLine.length > MAX_WATCH_LINE_LENGTH) {
            request.destroy();
          }
        });
        response.on('end', fail);
        response.on('error', fail);
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', fail);
    request.end(encodeWatch(key, fromVersion));
    return Effect.sync(() => request.destroy());
  });
}

/**
 * Creates a client of an etcd v3 store.
 *
 * @param addresses Equivalent servers. After a call without a complete response, the client switches to the next one.
 */
export function createEtcdStore(addresses: readonly string[], timeoutMs: number): EtcdStore {
  let addressIndex = 0;
  const getAddress = (): string => addresses[addressIndex % addresses.length]!;

  const call = <T>(
    path: string,
    body: string | null,
    decode: (text: string) => Either<Diagnostic, T>,
    mapFailure: FailureMapper,
  ): Effect.Effect<T, Diagnostic> =>
    Effect.suspend(() =>
      callHttp({
        address: getAddress(),
        method: body === null ? 'GET' : 'POST',
        path,
        body,
        timeoutMs,
      }),
    ).pipe(
      Effect.mapError((failure) => {
        addressIndex += 1;
        return mapFailure(failure);
      }),
      Effect.flatMap(({ status, text }) => {
        if (status === HTTP_OK) {
          return fromEither(decode(text));
        }
        const isRejection = status < HTTP_SERVER_ERROR;
        return Effect.fail(
          isRejection
            ? createStoreRejection(status)
            : mapFailure({ mayHaveRun: true, reason: String(status) }),
        );
      }),
    );

  return {
    get: (key) =>
      call(STORE_PATHS.Range, encodeRange(key), (text) => decodeRange(text, key), mapReadFailure),
    compareAndSwap: (swap) => call(STORE_PATHS.Txn, encodeSwap(swap), decodeSwap, mapWriteFailure),
    grantLease: (ttlSeconds) =>
      call(STORE_PATHS.LeaseGrant, encodeLeaseGrant(ttlSeconds), decodeLeaseGrant, mapWriteFailure),
    renewLease: (leaseId) =>
      call(
        STORE_PATHS.LeaseKeepAlive,
        encodeLeaseKeepAlive(leaseId),
        decodeLeaseKeepAlive,
        mapWriteFailure,
      ),
    watch: (key, fromVersion, onValue) =>
      Effect.suspend(() => watchKey(getAddress(), key, fromVersion, onValue)),
    listVms: call(VM_LIST_PATH, null, decodeVmList, mapReadFailure),
  };
}
