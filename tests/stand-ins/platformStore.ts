/**
 * A stand-in of the users' platform's store, in the test's own process: keys with revisions, leases and
 * waiting watches. Faults are set by its fields.
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
  readonly item: Item | null;
}

/** The store, and what a test can do to it. */
export interface PlatformStore {
  readonly address: string;
  /** Refuses every call with 503 while set. */
  isDown: boolean;
  /** Does every change but does not answer it while set. */
  losesAnswers: boolean;
  /** Changes after which the history is gone for watches that are behind. */
  compact: () => void;
  readonly put: (key: string, value: unknown) => number;
  readonly remove: (key: string) => void;
  readonly get: (key: string) => string | null;
  readonly close: () => Promise<void>;
}

const MS_PER_SECOND = 1000;

function readText(request: IncomingMessage): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    request.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    request.on('end', () => resolve(text));
  });
}

function send(response: ServerResponse, status: number, body: unknown = {}): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

type Call = (url: URL, body: string, response: ServerResponse) => void;

/** Starts a store on a free port. */
export async function startPlatformStore(): Promise<PlatformStore> {
  const items = new Map<string, Item>();
  const leases = new Map<number, NodeJS.Timeout>();
  const leaseTimesMs = new Map<number, number>();
  let history: Change[] = [];
  const waiting: (() => void)[] = [];
  let revision = 10;
  let compacted = 0;
  let leaseCount = 100;

  const change = (key: string, value: string | null, lease: number): number => {
    revision += 1;
    const item = value === null ? null : { key, value, rev: revision, lease };
    if (item === null) {
      items.delete(key);
    } else {
      items.set(key, item);
    }
    history.push({ key, rev: revision, item });
    waiting.splice(0).forEach((wake) => wake());
    return revision;
  };

  const endLease = (lease: number): void => {
    clearTimeout(leases.get(lease));
    leases.delete(lease);
    [...items.values()]
      .filter((item) => item.lease === lease)
      .forEach(({ key }) => change(key, null, 0));
  };

  const keepLease = (lease: number): void => {
    clearTimeout(leases.get(lease));
    leases.set(
      lease,
      setTimeout(() => endLease(lease), leaseTimesMs.get(lease)),
    );
  };

  const watch: Call = (url, _body, response) => {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const endsAtMs = performance.now() + Number(url.searchParams.get('wait_ms'));
    const answer = (): void => {
      if (response.writableEnded) {
        return;
      }
      if (after < compacted) {
        send(response, 410);
        return;
      }
      const events = history
        .filter(({ key, rev }) => rev > after && key.startsWith(prefix))
        .map(({ item, key, rev }) => item ?? { key, rev, removed: true });
      if (events.length > 0 || performance.now() >= endsAtMs) {
        send(response, 200, { events, as_of: revision });
        return;
      }
      waiting.push(answer);
    };
    setTimeout(answer, Math.max(0, endsAtMs - performance.now()) + 1);
    answer();
  };

  const txn: Call = (_url, body, response) => {
    const call = JSON.parse(body) as {
      expected: { key: string; rev: number }[];
      puts: { key: string; value: string; lease: number }[];
      delete: string[];
    };
    if (call.expected.some(({ key, rev }) => (items.get(key)?.rev ?? 0) !== rev)) {
      send(response, 412, { items: [] });
      return;
    }
    if (call.puts.some(({ lease }) => lease !== 0 && !leases.has(lease))) {
      send(response, 404);
      return;
    }
    call.puts.forEach(({ key, lease, value }) => change(key, value, lease));
    call.delete.forEach((key) => change(key, null, 0));
    send(response, 200, { rev: revision });
  };

  const CALLS: Readonly<Record<string, Call>> = {
    'GET /v1/kv-key': (url, _body, response) => {
      const item = items.get(url.searchParams.get('key') ?? '');
      send(response, item === undefined ? 404 : 200, { ...item, as_of: revision });
    },
    'GET /v1/kv-range': (url, _body, response) => {
      const prefix = url.searchParams.get('prefix') ?? '';
      const found = [...items.values()].filter(({ key }) => key.startsWith(prefix));
      send(response, 200, { items: found, more_pages: false, as_of: revision });
    },
    'GET /v1/kv-watch': watch,
    'POST /v1/kv-txn': txn,
    'POST /v1/kv-lease': (_url, body, response) => {
      leaseCount += 1;
      const { ttl_ms: ttlMs } = JSON.parse(body) as { ttl_ms: number };
      leaseTimesMs.set(leaseCount, Math.max(ttlMs, MS_PER_SECOND));
      keepLease(leaseCount);
      send(response, 200, { lease: leaseCount, ttl_ms: ttlMs });
    },
    'POST /v1/kv-keep': (url, _body, response) => {
      const lease = Number(url.pathname.split('/').at(-1));
      if (leases.has(lease)) {
        keepLease(lease);
      }
      send(response, leases.has(lease) ? 200 : 404);
    },
    'DELETE /v1/kv-lease-end': (url, _body, response) => {
      endLease(Number(url.pathname.split('/').at(-1)));
      send(response, 200);
    },
  };

  const store: Omit<PlatformStore, 'address' | 'close'> = {
    isDown: false,
    losesAnswers: false,
    compact: () => {
      compacted = revision;
      history = [];
      waiting.splice(0).forEach((wake) => wake());
    },
    put: (key, value) => change(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0),
    remove: (key) => {
      change(key, null, 0);
    },
    get: (key) => {
      const value = items.get(key)?.value;
      return value === undefined ? null : Buffer.from(value, 'base64').toString();
    },
  };

  const server = http.createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://store');
    const path = /^\/v1\/[a-z-]+/.exec(url.pathname)?.[0] ?? '';
    void readText(request).then((body) => {
      const call = CALLS[`${request.method} ${path}`];
      if (store.isDown || call === undefined) {
        send(response, store.isDown ? 503 : 404);
        return;
      }
      if (store.losesAnswers && request.method === 'POST') {
        call(url, body, new http.ServerResponse(request));
        request.socket.destroy();
        return;
      }
      call(url, body, response);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      leases.forEach((timer) => clearTimeout(timer));
      server.closeAllConnections();
      server.close(() => resolve());
    });
  return Object.assign(store, { address: `127.0.0.1:${port}`, close });
}
