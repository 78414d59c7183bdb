/**
 * Simulates the key-value store of the users' platform within the test process: keys with revisions,
 * leases and long-polling watches. A test injects faults by setting fields, and restores the store from a copy.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface Item {
  readonly key: string;
  readonly value: string;
  readonly rev: number;
  readonly lease: number;
}

interface Change {
  readonly key: string;
  readonly rev: number;
  /** The new value, or null if the key was removed. */
  readonly item: Item | null;
}

/** The contents of a store at one moment. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, Item>;
  readonly revision: number;
  readonly lastLeaseId: number;
}

/** A running store, its faults, and direct access to its keys. */
export interface PlatformStore {
  readonly address: string;
  /** While set, every request is refused with status 503. */
  isDown: boolean;
  /** While set, every POST takes effect, but its connection is closed without an answer. */
  losesAnswers: boolean;
  /** Delay of every call before the store handles it, and of its answer after that. */
  delayMs: number;
  /** Discards the change history; a watch from an older revision then receives status 410. */
  compact: () => void;
  readonly copy: () => StoreCopy;
  /** Replaces the contents by an earlier copy and begins a new era: later writes and leases are lost. */
  readonly restore: (copy: StoreCopy) => void;
  /** Number of calls that were answered, by method and path. */
  readonly callCounts: ReadonlyMap<string, number>;
  readonly put: (key: string, value: unknown) => number;
  readonly remove: (key: string) => void;
  readonly get: (key: string) => string | null;
  readonly close: () => Promise<void>;
}

const MS_PER_SECOND = 1000;

function readBody(request: IncomingMessage): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    request.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    request.on('end', () => resolve(text));
  });
}

function sendJson(response: ServerResponse, status: number, body: unknown = {}): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

type Handler = (url: URL, body: string, response: ServerResponse) => void;

/** Starts a store on a free loopback port. */
export async function startPlatformStore(): Promise<PlatformStore> {
  const items = new Map<string, Item>();
  const leaseTimers = new Map<number, NodeJS.Timeout>();
  const leaseDurationsMs = new Map<number, number>();
  let history: Change[] = [];
  const pendingWatches: (() => void)[] = [];
  let revision = 10;
  let compactedRevision = 0;
  let lastLeaseId = 100;
  let era = 1;
  const callCounts = new Map<string, number>();

  const applyChange = (key: string, value: string | null, lease: number): number => {
    revision += 1;
    const item = value === null ? null : { key, value, rev: revision, lease };
    if (item === null) {
      items.delete(key);
    } else {
      items.set(key, item);
    }
    history.push({ key, rev: revision, item });
    pendingWatches.splice(0).forEach((respond) => respond());
    return revision;
  };

  const expireLease = (lease: number): void => {
    clearTimeout(leaseTimers.get(lease));
    leaseTimers.delete(lease);
    [...items.values()]
      .filter((item) => item.lease === lease)
      .forEach(({ key }) => applyChange(key, null, 0));
  };

  const renewLease = (lease: number): void => {
    clearTimeout(leaseTimers.get(lease));
    leaseTimers.set(
      lease,
      setTimeout(() => expireLease(lease), leaseDurationsMs.get(lease)),
    );
  };

  const handleWatch: Handler = (url, _body, response) => {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const endsAtMs = performance.now() + Number(url.searchParams.get('wait_ms'));
    const respond = (): void => {
      if (response.writableEnded) {
        return;
      }
      if (after < compactedRevision || after > revision) {
        sendJson(response, 410);
        return;
      }
      const events = history
        .filter(({ key, rev }) => rev > after && key.startsWith(prefix))
        .map(({ item, key, rev }) => item ?? { key, rev, removed: true });
      if (events.length > 0 || performance.now() >= endsAtMs) {
        sendJson(response, 200, { events, as_of: revision });
        return;
      }
      pendingWatches.push(respond);
    };
    setTimeout(respond, Math.max(0, endsAtMs - performance.now()) + 1);
    respond();
  };

  const handleTransaction: Handler = (_url, body, response) => {
    const transaction = JSON.parse(body) as {
      expected: { key: string; rev: number }[];
      puts: { key: string; value: string; lease: number }[];
      delete: string[];
    };
    if (transaction.expected.some(({ key, rev }) => (items.get(key)?.rev ?? 0) !== rev)) {
      sendJson(response, 412, { items: [] });
      return;
    }
    if (transaction.puts.some(({ lease }) => lease !== 0 && !leaseTimers.has(lease))) {
      sendJson(response, 404);
      return;
    }
    transaction.puts.forEach(({ key, lease, value }) => applyChange(key, value, lease));
    transaction.delete.forEach((key) => applyChange(key, null, 0));
    sendJson(response, 200, { rev: revision });
  };

  const HANDLERS: Readonly<Record<string, Handler>> = {
    'GET /v1/kv-key': (url, _body, response) => {
      const item = items.get(url.searchParams.get('key') ?? '');
      sendJson(response, item === undefined ? 404 : 200, { ...item, as_of: revision });
    },
    'GET /v1/kv-range': (url, _body, response) => {
      const prefix = url.searchParams.get('prefix') ?? '';
      const found = [...items.values()].filter(({ key }) => key.startsWith(prefix));
      sendJson(response, 200, { items: found, more_pages: false, as_of: revision });
    },
    'GET /v1/kv-watch': handleWatch,
    'POST /v1/kv-txn': handleTransaction,
    'POST /v1/kv-lease': (_url, body, response) => {
      lastLeaseId += 1;
      const { ttl_ms: ttlMs } = JSON.parse(body) as { ttl_ms: number };
      leaseDurationsMs.set(lastLeaseId, Math.max(ttlMs, MS_PER_SECOND));
      renewLease(lastLeaseId);
      sendJson(response, 200, { lease: lastLeaseId, ttl_ms: ttlMs });
    },
    'POST /v1/kv-keep': (url, _body, response) => {
      const lease = Number(url.pathname.split('/').at(-1));
      if (leaseTimers.has(lease)) {
        renewLease(lease);
      }
      sendJson(response, leaseTimers.has(lease) ? 200 : 404);
    },
    'DELETE /v1/kv-lease-end': (url, _body, response) => {
      expireLease(Number(url.pathname.split('/').at(-1)));
      sendJson(response, 200);
    },
  };

  const store: Omit<PlatformStore, 'address' | 'close'> = {
    isDown: false,
    losesAnswers: false,
    delayMs: 0,
    compact: () => {
      compactedRevision = revision;
      history = [];
      pendingWatches.splice(0).forEach((respond) => respond());
    },
    callCounts,
    copy: () => ({ items: new Map(items), revision, lastLeaseId }),
    restore: (copy) => {
      era += 1;
      items.clear();
      copy.items.forEach((item, key) => items.set(key, item));
      [...leaseTimers.keys()]
        .filter((lease) => lease > copy.lastLeaseId)
        .forEach((lease) => {
          clearTimeout(leaseTimers.get(lease));
          leaseTimers.delete(lease);
        });
      revision = copy.revision;
      lastLeaseId = copy.lastLeaseId;
      compactedRevision = copy.revision;
      history = [];
      pendingWatches.splice(0).forEach((respond) => respond());
    },
    put: (key, value) => applyChange(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0),
    remove: (key) => {
      applyChange(key, null, 0);
    },
    get: (key) => {
      const value = items.get(key)?.value;
      return value === undefined ? null : Buffer.from(value, 'base64').toString();
    },
  };

  const handleCall = (request: IncomingMessage, response: ServerResponse, body: string): void => {
    const url = new URL(request.url ?? '/', 'http://store');
    const path = /^\/v1\/[a-z-]+/.exec(url.pathname)?.[0] ?? '';
    const call = `${request.method} ${path}`;
    const handler = HANDLERS[call];
    callCounts.set(call, (callCounts.get(call) ?? 0) + 1);
    response.setHeader('Store-Era', String(era));
    if (store.isDown || handler === undefined) {
      sendJson(response, store.isDown ? 503 : 404);
      return;
    }
    if (store.losesAnswers && request.method === 'POST') {
      handler(url, body, new http.ServerResponse(request));
      request.socket.destroy();
      return;
    }
    handler(url, body, response);
  };

  const server = http.createServer((request, response) => {
    void readBody(request).then((body) => {
      const { delayMs } = store;
      if (delayMs === 0) {
        handleCall(request, response, body);
        return;
      }
      response.socket?.cork();
      setTimeout(() => {
        handleCall(request, response, body);
        setTimeout(() => response.socket?.uncork(), delayMs);
      }, delayMs);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      leaseTimers.forEach((timer) => clearTimeout(timer));
      server.closeAllConnections();
      server.close(() => resolve());
    });
  return Object.assign(store, { address: `127.0.0.1:${port}`, close });
}
