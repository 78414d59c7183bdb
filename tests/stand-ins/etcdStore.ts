/**
 * Simulates the platform: its key-value store (the JSON form of the etcd v3 API) and its list of VMs.
 * Faults are injected through `POST /faults`.
 */
import type { Server, ServerResponse } from 'node:http';
import { STORE_PATHS, VM_LIST_PATH } from '../../src/protocol/storeMessages.js';
import { sendJson, startHandlerServer, type StandInHandler } from './http.js';

const MAX_VALUE_BYTES = 1_048_576;
const MS_PER_SECOND = 1000;

/** Faults to inject. */
export interface StoreFaults {
  /** Every request has its connection closed without an answer. */
  outage: boolean;
  delayMs: number;
  /** Number of the next transactions that take effect, but whose connection is closed before the answer. */
  loseSwapAnswers: number;
  /** Number of the next transactions whose connection is closed before they take effect. */
  loseSwaps: number;
  /** Watches are accepted, but no changes are sent to them. */
  deadWatches: boolean;
  /** Requests allowed per second, here and below; 0 sets no limit. */
  readsPerSecond: number;
  writesPerSecond: number;
}

const NO_FAULTS: StoreFaults = {
  outage: false,
  delayMs: 0,
  loseSwapAnswers: 0,
  loseSwaps: 0,
  deadWatches: false,
  readsPerSecond: 0,
  writesPerSecond: 0,
};

interface Entry {
  readonly value: string;
  readonly version: number;
  readonly lease: string | null;
}

interface Watch {
  readonly key: string;
  readonly response: ServerResponse;
}

interface TransactionMessage {
  readonly compare: readonly { readonly key: string; readonly mod_revision: string }[];
  readonly success: readonly {
    readonly request_put?: {
      readonly key: string;
      readonly value: string;
      readonly lease?: string;
    };
    readonly request_delete_range?: { readonly key: string };
  }[];
}

/** Starts a simulated platform on a loopback port. */
export function startEtcdStore(port: number): Promise<Server> {
  let entries = new Map<string, Entry>();
  let snapshot = new Map<string, Entry>();
  let version = 1;
  let faults = { ...NO_FAULTS };
  let vms: readonly unknown[] = [];
  let lastLeaseId = 0;
  const leases = new Map<string, { ttlMs: number; expiresAtMs: number }>();
  const watches = new Set<Watch>();
  const counts = { reads: 0, writes: 0, watches: 0, bytesOut: 0, rejected: 0 };
  let windowStartMs = 0;
  let windowReads = 0;
  let windowWrites = 0;

  const isOverLimit = (kind: 'reads' | 'writes'): boolean => {
    const nowMs = Date.now();
    if (nowMs - windowStartMs >= MS_PER_SECOND) {
      windowStartMs = nowMs;
      windowReads = 0;
      windowWrites = 0;
    }
    if (kind === 'reads') {
      windowReads += 1;
      return faults.readsPerSecond > 0 && windowReads > faults.readsPerSecond;
    }
    windowWrites += 1;
    return faults.writesPerSecond > 0 && windowWrites > faults.writesPerSecond;
  };

  const withFaults =
    (kind: 'reads' | 'writes', handler: StandInHandler): StandInHandler =>
    (request, response, body) => {
      counts[kind] += 1;
      if (faults.outage) {
        request.socket.destroy();
        return;
      }
      if (isOverLimit(kind)) {
        counts.rejected += 1;
        sendJson(response, { error: 'too many requests' }, 429);
        return;
      }
      setTimeout(() => handler(request, response, body), faults.delayMs);
    };

  const encodeEntry = (key: string, entry: Entry): object => ({
    key,
    value: entry.value,
    mod_revision: String(entry.version),
  });

  const notifyWatches = (key: string): void => {
    const entry = entries.get(key);
    if (entry === undefined || faults.deadWatches) {
      return;
    }
    const line = `${JSON.stringify({ result: { events: [{ kv: encodeEntry(key, entry) }] } })}\n`;
    [...watches]
      .filter((openWatch) => openWatch.key === key)
      .forEach((openWatch) => {
        counts.bytesOut += line.length;
        openWatch.response.write(line);
      });
  };

  const removeExpiredLeases = (): void => {
    const nowMs = Date.now();
    [...leases].forEach(([id, lease]) => {
      if (lease.expiresAtMs < nowMs) {
        leases.delete(id);
        [...entries].forEach(([key, entry]) => {
          if (entry.lease === id) {
            entries.delete(key);
          }
        });
      }
    });
  };

  const handleRange: StandInHandler = (_request, response, body) => {
    removeExpiredLeases();
    const { key } = JSON.parse(body) as { key: string };
    const entry = entries.get(key);
    counts.bytesOut += entry?.value.length ?? 0;
    sendJson(response, entry === undefined ? { kvs: [] } : { kvs: [encodeEntry(key, entry)] });
  };

  const applyTransaction = (message: TransactionMessage): boolean => {
    const isUnchanged = message.compare.every(
      ({ key, mod_revision: expected }) => (entries.get(key)?.version ?? 0) === Number(expected),
    );
    if (!isUnchanged) {
      return false;
    }
    message.success.forEach(({ request_put: put, request_delete_range: removal }) => {
      version += 1;
      if (put !== undefined) {
        entries.set(put.key, { value: put.value, version, lease: put.lease ?? null });
        notifyWatches(put.key);
      }
      if (removal !== undefined) {
        entries.delete(removal.key);
      }
    });
    return true;
  };

  const handleTransaction: StandInHandler = (request, response, body) => {
    removeExpiredLeases();
    if (Buffer.byteLength(body) > MAX_VALUE_BYTES * 1.5) {
      sendJson(response, { error: 'value too large' }, 413);
      return;
    }
    if (faults.loseSwaps > 0) {
      faults.loseSwaps -= 1;
      request.socket.destroy();
      return;
    }
    const succeeded = applyTransaction(JSON.parse(body) as TransactionMessage);
    if (faults.loseSwapAnswers > 0) {
      faults.loseSwapAnswers -= 1;
      request.socket.destroy();
      return;
    }
    sendJson(response, { header: { revision: String(version) }, succeeded });
  };

  const handleLeaseGrant: StandInHandler = (_request, response, body) => {
    const ttlMs = Number((JSON.parse(body) as { TTL: string }).TTL) * MS_PER_SECOND;
    lastLeaseId += 1;
    const id = String(lastLeaseId);
    leases.set(id, { ttlMs, expiresAtMs: Date.now() + ttlMs });
    sendJson(response, { ID: id, TTL: String(ttlMs / MS_PER_SECOND) });
  };

  const handleLeaseKeepAlive: StandInHandler = (_request, response, body) => {
    removeExpiredLeases();
    const { ID: id } = JSON.parse(body) as { ID: string };
    const lease = leases.get(id);
    if (lease !== undefined) {
      lease.expiresAtMs = Date.now() + lease.ttlMs;
    }
    const ttl = lease === undefined ? '0' : String(lease.ttlMs / MS_PER_SECOND);
    sendJson(response, { result: { ID: id, TTL: ttl } });
  };

  const handleWatch: StandInHandler = (_request, response, body) => {
    const { create_request: create } = JSON.parse(body) as {
      create_request: { key: string; start_revision?: string };
    };
    response.writeHead(200, { 'content-type': 'application/json' });
    response.write(`${JSON.stringify({ result: { created: true } })}\n`);
    const entry = entries.get(create.key);
    if (entry !== undefined && entry.version >= Number(create.start_revision ?? '0')) {
      const event = { kv: encodeEntry(create.key, entry) };
      response.write(`${JSON.stringify({ result: { events: [event] } })}\n`);
    }
    const newWatch = { key: create.key, response };
    counts.watches += 1;
    watches.add(newWatch);
    response.on('close', () => watches.delete(newWatch));
  };

  const setFaults: StandInHandler = (_request, response, body) => {
    faults = { ...faults, ...(JSON.parse(body) as Partial<StoreFaults>) };
    if (faults.outage) {
      watches.forEach((openWatch) => openWatch.response.destroy());
    }
    sendJson(response, faults);
  };

  return startHandlerServer(
    port,
    {
      [`POST ${STORE_PATHS.Range}`]: withFaults('reads', handleRange),
      [`POST ${STORE_PATHS.Txn}`]: withFaults('writes', handleTransaction),
      [`POST ${STORE_PATHS.LeaseGrant}`]: withFaults('writes', handleLeaseGrant),
      [`POST ${STORE_PATHS.LeaseKeepAlive}`]: withFaults('writes', handleLeaseKeepAlive),
      [`POST ${STORE_PATHS.Watch}`]: withFaults('reads', handleWatch),
      [`GET ${VM_LIST_PATH}`]: withFaults('reads', (_request, response) =>
        sendJson(response, { vms }),
      ),
      'POST /faults': setFaults,
      'POST /vms': (_request, response, body) => {
        vms = JSON.parse(body) as readonly unknown[];
        sendJson(response, { vms });
      },
      'POST /snapshot': (_request, response) => {
        snapshot = new Map(entries);
        sendJson(response, { size: snapshot.size });
      },
      // Restores the snapshot under a new version, as when an operator restores a backup.
      'POST /restore': (_request, response) => {
        version += 1;
        entries = new Map([...snapshot].map(([key, entry]) => [key, { ...entry, version }]));
        [...entries.keys()].forEach(notifyWatches);
        sendJson(response, { size: entries.size });
      },
      'GET /counts': (_request, response) => sendJson(response, counts),
    },
    (_request, response) => sendJson(response, { error: 'not found' }, 404),
  );
}
