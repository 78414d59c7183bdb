/**
 * Encodes and decodes the messages of the platform's key-value service, which has the JSON form of the etcd v3 API.
 * Only single keys, compare-and-swap, leases and watches are used. Keys and values are base64 on the wire.
 */
import { Schema } from 'effect';
import type { Either } from 'purify-ts';
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

/** Decodes a key or value from the wire. */
export function fromBase64(text: string): string {
  return Buffer.from(text, 'base64').toString();
}

const KeyValueSchema = Schema.Struct({
  key: Schema.String,
  value: Schema.optionalKey(Schema.String),
  mod_revision: Schema.optionalKey(Schema.String),
});
const HeaderSchema = Schema.Struct({ revision: Schema.String });

const RangeResponseSchema = Schema.Struct({
  kvs: Schema.optionalKey(Schema.Array(KeyValueSchema)),
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
    events: Schema.optionalKey(
      Schema.Array(Schema.Struct({ type: Schema.optionalKey(Schema.String), kv: KeyValueSchema })),
    ),
  }),
});

type KeyValue = typeof KeyValueSchema.Type;

function decodeKeyValue(kv: KeyValue): StoredValue {
  return { value: fromBase64(kv.value ?? ''), version: Number(kv.mod_revision ?? '0') };
}

/** Encodes a read of one key. */
export function encodeRange(key: string): string {
  return JSON.stringify({ key: toBase64(key) });
}

/** Decodes the answer to a read: the value, or null if the key is absent. */
export function decodeRange(text: string): Either<Diagnostic, StoredValue | null> {
  return decodeJson(RangeResponseSchema, text).map((response) => {
    const [kv] = response.kvs ?? [];
    return kv === undefined ? null : decodeKeyValue(kv);
  });
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

/** Decodes one message of a watch: the values that were written to the key, in order. Deletions are left out. */
export function decodeWatch(text: string): Either<Diagnostic, readonly StoredValue[]> {
  return decodeJson(WatchResponseSchema, text).map((response) =>
    (response.result.events ?? [])
      .filter((event) => event.type !== 'DELETE')
      .map((event) => decodeKeyValue(event.kv)),
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
