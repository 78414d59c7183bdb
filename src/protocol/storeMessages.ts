/**
 * Encodes and decodes the messages of the platform's key-value service, which has the JSON form of the etcd v3 API.
 * Only single keys, compare-and-swap, leases and watches are used. Keys and values are base64 on the wire.
 */
import { Schema } from 'effect';
import { Either, Left, Right } from 'purify-ts';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { decodeJson } from './json.js';

export const STORE_PATHS = {
  Range: '/v3/kv/range',
  Txn: '/v3/kv/txn',
  LeaseGrant: '/v3/lease/grant',
  LeaseKeepAlive: '/v3/lease/keepalive',
  Watch: '/v3/watch',
} as const;

/** Path of the platform's list of VMs. */
export const VM_LIST_PATH = '/platform/vms';

/** A value with the revision of the store at which it last changed. */
export interface StoredValue {
  readonly value: string;
  readonly version: number;
}

/** A compare-and-swap of one key. */
export interface Swap {
  readonly key: string;
  /** The version that the key must have for the swap to take effect; zero if the key must be absent. */
  readonly expectedVersion: number;
  /** The new value; null removes the key. */
  readonly value: string | null;
  readonly leaseId: string | null;
}

/** Encodes a key or value for the wire. */
export function toBase64(text: string): string {
  return Buffer.from(text).toString('base64');
}

/** Whole groups of four characters, the last one with padding. */
const BASE64_PATTERN = /^(?:[A-Za-z0-9+/]{4})*(?:[A-Za-z0-9+/]{2}==|[A-Za-z0-9+/]{3}=)?$/;
const UTF8_DECODER = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true });

/** Decodes a key or value from the wire. Left is `MalformedBody` for a text that is cut short or that does not stand for text. */
export function fromBase64(text: string): Either<Diagnostic, string> {
  const decoded = Either.encase(() => UTF8_DECODER.decode(Buffer.from(text, 'base64')));
  return BASE64_PATTERN.test(text)
    ? decoded.mapLeft(() => createDiagnostic(Diagnostics.MalformedBody, 'expected UTF-8'))
    : Left(createDiagnostic(Diagnostics.MalformedBody, 'expected base64'));
}

/** Up to 15 digits, so that the number is a safe integer. */
const RevisionSchema = Schema.String.check(Schema.isPattern(/^\d{1,15}$/));
const KeyValueSchema = Schema.Struct({
  key: Schema.String,
  value: Schema.optionalKey(Schema.String),
  mod_revision: RevisionSchema,
});
const HeaderSchema = Schema.Struct({ revision: RevisionSchema });

const RangeResponseSchema = Schema.Struct({
  kvs: Schema.optionalKey(Schema.Array(KeyValueSchema)),
  /** Left out if it is zero. */
  count: Schema.optionalKey(Schema.String),
});
const TxnResponseSchema = Schema.Struct({
  header: HeaderSchema,
  succeeded: Schema.optionalKey(Schema.Boolean),
});
const LeaseGrantResponseSchema = Schema.Struct({ ID: Schema.String });
const LeaseKeepAliveResponseSchema = Schema.Struct({
  result: Schema.Struct({ ID: Schema.String, TTL: Schema.optionalKey(Schema.String) }),
});
const WatchResponseSchema = Schema.Struct({
  result: Schema.Struct({
    canceled: Schema.optionalKey(Schema.Boolean),
    events: Schema.optionalKey(
      Schema.Array(Schema.Struct({ type: Schema.optionalKey(Schema.String), kv: KeyValueSchema })),
    ),
  }),
});

type KeyValue = typeof KeyValueSchema.Type;

/** Decodes an item of the key that was asked for. */
function decodeKeyValue(kv: KeyValue, key: string): Either<Diagnostic, StoredValue> {
  return kv.key === toBase64(key)
    ? fromBase64(kv.value ?? '').map((value) => ({ value, version: Number(kv.mod_revision) }))
    : Left(createDiagnostic(Diagnostics.MalformedBody, `expected the key ${key}`));
}

/** Encodes a read of one key. */
export function encodeRange(key: string): string {
  return JSON.stringify({ key: toBase64(key) });
}

/** Decodes the answer to a read of a key: the value, or null if the key is absent. */
export function decodeRange(text: string, key: string): Either<Diagnostic, StoredValue | null> {
  return decodeJson(RangeResponseSchema, text).chain<Diagnostic, StoredValue | null>(
    ({ count, kvs = [] }) => {
      const [kv] = kvs;
      if (kvs.length > 1 || Number(count ?? kvs.length) !== kvs.length) {
        return Left(createDiagnostic(Diagnostics.MalformedBody, 'expected one item at most'));
      }
      return kv === undefined ? Right(null) : decodeKeyValue(kv, key);
    },
  );
}

/** Encodes a compare-and-swap of one key. */
export function encodeSwap({ expectedVersion, key, leaseId, value }: Swap): string {
  const encodedKey = toBase64(key);
  const success =
    value === null
      ? { request_delete_range: { key: encodedKey } }
      : {
          request_put: {
            key: encodedKey,
            value: toBase64(value),
            ...(leaseId === null ? {} : { lease: leaseId }),
          },
        };
  return JSON.stringify({
    compare: [
      { key: encodedKey, target: 'MOD', result: 'EQUAL', mod_revision: String(expectedVersion) },
    ],
    success: [success],
    failure: [],
  });
}

/** Decodes the answer to a compare-and-swap: the new version, or null if the key had another version. */
export function decodeSwap(text: string): Either<Diagnostic, number | null> {
  return decodeJson(TxnResponseSchema, text).map((response) =>
    response.succeeded === true ? Number(response.header.revision) : null,
  );
}

/** Encodes a request for a lease. */
export function encodeLeaseGrant(ttlSeconds: number): string {
  return JSON.stringify({ TTL: String(ttlSeconds), ID: '0' });
}

/** Decodes the id of a granted lease. */
export function decodeLeaseGrant(text: string): Either<Diagnostic, string> {
  return decodeJson(LeaseGrantResponseSchema, text).map((response) => response.ID);
}

/** Encodes the renewal of a lease. */
export function encodeLeaseKeepAlive(leaseId: string): string {
  return JSON.stringify({ ID: leaseId });
}

/** Decodes the answer to a renewal: true if the lease has not expired. */
export function decodeLeaseKeepAlive(text: string): Either<Diagnostic, boolean> {
  return decodeJson(LeaseKeepAliveResponseSchema, text).map(
    (response) => Number(response.result.TTL ?? '0') > 0,
  );
}

/** Encodes a watch of one key for its values from a version on. */
export function encodeWatch(key: string, fromVersion: number): string {
  const start = String(fromVersion);
  return JSON.stringify({ create_request: { key: toBase64(key), start_revision: start } });
}

/** Decodes one message of a watch of a key: the values that were written to it, in order. Deletions are left out. */
export function decodeWatch(text: string, key: string): Either<Diagnostic, readonly StoredValue[]> {
  return decodeJson(WatchResponseSchema, text).chain(({ result }) =>
    result.canceled === true
      ? Left(createDiagnostic(Diagnostics.StoreUnavailable))
      : Either.sequence(
          (result.events ?? [])
            .filter((event) => event.type !== 'DELETE')
            .map((event) => decodeKeyValue(event.kv, key)),
        ),
  );
}

const VmListSchema = Schema.Struct({
  vms: Schema.Array(
    Schema.Struct({
      vmId: Schema.String,
      peerAddress: Schema.String,
      state: Schema.Literals(['live', 'leaving']),
    }),
  ),
});

/** Decodes the platform's list of VMs. */
export function decodeVmList(text: string): Either<Diagnostic, (typeof VmListSchema.Type)['vms']> {
  return decodeJson(VmListSchema, text).map((list) => list.vms);
}

/** Creates the diagnostic of a call that the store rejected with a status. */
export function createStoreRejection(status: number): Diagnostic {
  return createDiagnostic(Diagnostics.StoreRejected, status);
}
