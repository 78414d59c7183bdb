/**
 * Runs VMs as processes in failure domains whose links to all servers can be cut, and sends them requests of all kinds.
 */
import http from 'node:http';
import {
  createServerRecords,
  CUT_SERVER_HOST,
  CUT_STREAM_EVENTS,
  type CutServer,
  getCutAnswer,
  type ServerRecords,
  startCutServer,
} from './cutServer.js';
import { ENTRY_PROGRAM, type PreparedEntry, prepareEntry } from './entryProcess.js';
import { createConfiguration } from './entryVms.js';
import { type PlatformStore, startPlatformStore } from './platformStore.js';
import { endProcess, type StartedProcess, startProgram, waitFor } from './processes.js';
import { createServerLinks, type ServerLinks } from './serverLinks.js';

const SERVERS_PER_SERVICE = 4;
const HEARTBEAT_MS = 500;
const ROUTE_TIMEOUT_MS = 4_000;
/** The deadline of calls that name no other. */
export const CALL_DEADLINE_MS = 1_200;
const LARGE_BODY = 'b'.repeat(100_000);

/** A kind of request. */
export interface RequestKind {
  readonly name: string;
  readonly path: string;
  readonly body: string;
  readonly isStream: boolean;
}

const PLAIN = { body: '', isStream: false };

/** The kinds of requests that are sent. */
export const RequestKinds = {
  Framed: { ...PLAIN, name: 'answers with a length', path: '/look/x' },
  Unframed: { ...PLAIN, name: 'answers without a length', path: '/plain/x' },
  Once: { ...PLAIN, name: 'requests that may run once', path: '/book/x' },
  Large: { ...PLAIN, name: 'bodies of 100 kB', path: '/look/large', body: LARGE_BODY },
  Resumable: { ...PLAIN, name: 'resumable streams', path: '/flow/x', isStream: true },
  Fixed: { ...PLAIN, name: 'streams that may not be resumed', path: '/fixed/x', isStream: true },
} as const satisfies Readonly<Record<string, RequestKind>>;

/** A VM that runs. */
export interface CutVm {
  readonly vmId: string;
  readonly prepared: PreparedEntry;
  readonly process: StartedProcess;
  readonly links: ServerLinks;
}

/** What the caller of a request has received. */
export interface CutCall {
  readonly id: string;
  readonly kind: RequestKind;
  readonly vm: CutVm;
  readonly startedAtMs: number;
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer was framed and ended in order, or had no framing and ended without a reset. */
  readonly isWhole: boolean;
  /** Whether the whole and right answer of a server has arrived. */
  readonly isServed: boolean;
}

/** VMs, their links, and the servers. */
export interface CutFleet {
  readonly store: PlatformStore;
  readonly vms: readonly CutVm[];
  readonly records: ServerRecords;
  readonly close: () => Promise<void>;
}

let callCount = 0;

function isRightAnswer({ body, isStream }: RequestKind, id: string, received: string): boolean {
  const ids = [...received.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
  return isStream
    ? ids.length === CUT_STREAM_EVENTS && ids.every((eventId, i) => eventId === i + 1)
    : received === getCutAnswer(id, body);
}

/** What a test changes in a call. */
export interface CallChanges {
  readonly headers?: Readonly<Record<string, string>>;
  /** Is told the request and what has been received, at each chunk. */
  readonly onData?: (request: http.ClientRequest, received: string) => void;
}

/** Sends a request on a connection of its own. */
export function callVm(vm: CutVm, kind: RequestKind, changes: CallChanges = {}): Promise<CutCall> {
  callCount += 1;
  const id = `call-${callCount}`;
  const startedAtMs = performance.now();
  const [host = '', port = ''] = vm.prepared.address.split(':');
  const { body: sent, path } = kind;
  return new Promise((resolve) => {
    const headers = {
      ...{ host: 'h', 'x-attempt-id': id, 'x-api-key': 'key-1' },
      ...{ 'x-deadline-ms': String(CALL_DEADLINE_MS), 'content-length': Buffer.byteLength(sent) },
      ...changes.headers,
    };
    const end = (status: number, answer: Partial<CutCall> = {}): void => {
      const received = answer.body ?? '';
      const isWhole = answer.isWhole ?? false;
      const isServed = status === 200 && isWhole && isRightAnswer(kind, id, received);
      const answered = { headers: {}, ...answer, status, body: received, isWhole, isServed };
      resolve({ id, kind, vm, startedAtMs, ...answered });
    };
    const method = sent === '' ? 'GET' : 'POST';
    const request = http.request({ host, port, path, method, headers, agent: false });
    request.maxHeadersCount = 0;
    request.on('response', (response) => {
      let received = '';
      let isFailed = false;
      response.on('data', (chunk: Buffer) => {
        received += chunk.toString();
        changes.onData?.(request, received);
      });
      response.on('error', () => {
        isFailed = true;
      });
      response.on('close', () => {
        const isWhole = response.complete && !isFailed;
        end(response.statusCode ?? 0, { headers: response.headers, body: received, isWhole });
      });
    });
    request.on('error', () => end(0));
    request.end(sent);
  });
}

/** Reads the sum of a metric of a VM over its labels. */
export async function readMetric({ prepared }: CutVm, name: string): Promise<number> {
  const text = await (await fetch(`http://${prepared.metricsAddress}/metrics`)).text();
  return text
    .split('\n')
    .filter((line) => line.startsWith(`${name} `) || line.startsWith(`${name}{`))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}

function createFleetConfiguration() {
  const configuration = createConfiguration(1, ['key-1']);
  const route = { host: 'h', timeout_ms: ROUTE_TIMEOUT_MS, goal_ms: 1_000, attempts: 3 };
  const plain = { ...route, public: false, route_kind: 'idempotent', service: 'counter' };
  const stream = { ...route, public: false, route_kind: 'streaming', service: 'flow' };
  const routes = [
    { ...plain, name: 'look', prefix: '/look/' },
    { ...plain, name: 'plain', prefix: '/plain/' },
    { ...plain, name: 'book', prefix: '/book/', route_kind: 'non_idempotent' },
    { ...stream, name: 'flow', prefix: '/flow/', resumable: true },
    { ...stream, name: 'fixed', prefix: '/fixed/' },
  ];
  const services = ['counter', 'flow'].map((name) => ({ name, max_conns: 100 }));
  return { ...configuration, routes, services };
}

/** Starts the servers, and registers them until the returned functions are called. */
async function startServers(
  store: PlatformStore,
  links: readonly ServerLinks[],
  records: ServerRecords,
  answerHeaders: Readonly<Record<string, string>>,
): Promise<(() => void)[]> {
  const register = (id: string, service: string, server: CutServer): NodeJS.Timeout => {
    const born = Date.now();
    let seq = 0;
    const write = (): void => {
      seq += 1;
      const state = { state: 'ready', cold_left_ms: 0, born, seq, zone: 'fd-a', version: 'v1' };
      store.put(`servers/${id}`, { service, address: server.address, slots: 100, ...state });
    };
    write();
    return setInterval(write, HEARTBEAT_MS);
  };
  const started = ['counter', 'flow'].flatMap((service) =>
    Array.from({ length: SERVERS_PER_SERVICE }, async (_, i) => {
      const server = await startCutServer(records, answerHeaders);
      await Promise.all(links.map(({ addServer }) => addServer(server.address)));
      const heartbeat = register(`${service}-${i}`, service, server);
      return () => {
        clearInterval(heartbeat);
        server.close();
      };
    }),
  );
  return Promise.all(started);
}

/**
 * Starts one VM for each entry of a list of failure domains. VMs of one domain have their links in common. Each VM runs the program
 * that is given for it, or the one that was built.
 */
export async function startCutFleet(
  failureDomains: readonly string[],
  answerHeaders: Readonly<Record<string, string>> = {},
  programs: readonly string[] = [],
): Promise<CutFleet> {
  const store = await startPlatformStore();
  const records = createServerRecords();
  const linksByDomain = new Map<string, ServerLinks>();
  [...new Set(failureDomains)].forEach((domain, i) =>
    linksByDomain.set(domain, createServerLinks(CUT_SERVER_HOST, `127.0.1.${i + 1}`)),
  );
  store.put('op/config', createFleetConfiguration());
  const closers = await startServers(store, [...linksByDomain.values()], records, answerHeaders);
  const vms = await Promise.all(
    failureDomains.map(async (domain, i) => {
      const vmId = `vm-${i + 1}`;
      const links = linksByDomain.get(domain)!;
      const bounds = { retry_slack: 10_000 };
      const prepared = await prepareEntry(store.address, {}, bounds, vmId, domain);
      const { args, environment } = prepared;
      const process = await startProgram(
        vmId,
        programs[i] ?? ENTRY_PROGRAM,
        args,
        'The VM is ready.',
        {
          ...environment,
          ...links.environment,
          NODE_OPTIONS: `${environment.NODE_OPTIONS} ${links.nodeOptions}`,
        },
      );
      return { vmId, prepared, process, links };
    }),
  );
  const fleet = {
    store,
    vms,
    records,
    close: async () => {
      await Promise.all(vms.map(({ process }) => endProcess(process)));
      await Promise.all([...linksByDomain.values()].map(({ close }) => close()));
      closers.forEach((close) => close());
      await store.close();
    },
  };
  await Promise.all(
    vms.flatMap((vm) =>
      Object.values(RequestKinds).map((kind) =>
        waitFor('a request is served', async () => (await callVm(vm, kind)).isServed),
      ),
    ),
  );
  return fleet;
}
