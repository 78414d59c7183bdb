/**
 * Runs the dispatches of a VM over real sockets: a server for one caller at a time, the real event handlers and executors of
 * requests, and three backend servers that send raw bytes.
 */
import { once } from 'node:events';
import http from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import {
  type Command,
  CommandKind,
  type CommandOf,
  EventKind,
  type VmEvent,
} from '../../src/coordination/events.js';
import { stepVm } from '../../src/coordination/handlers.js';
import { DEFAULT_POLICY } from '../../src/coordination/policy.js';
import { createVmState } from '../../src/coordination/vmState.js';
import { type CompletionKind, decodeCompletionRequest } from '../../src/protocol/openai.js';
import type { RequestInfo } from '../../src/state/types.js';
import {
  abortAnswer,
  createExchange,
  type Exchange,
  sendRefusal,
} from '../../src/transport/exchange.js';
import { dispatchToModel } from '../../src/transport/modelDispatch.js';
import { dispatchToRoute } from '../../src/transport/routeDispatch.js';
import {
  createModelRequest,
  createRouteRequest,
  createTestDocument,
  createTestEngine,
  createTestRoute,
  createTestWorkspace,
  TEST_MODEL_TAG,
} from './documents.js';
import { createTestHead } from './simulatedFleet.js';

const SELF = {
  vmId: 'vm',
  incarnation: '1',
  failureDomain: 'fd-a',
  peerAddress: 'vm',
  firstHeartbeat: 1,
};
/** Retries are bounded by the attempts of a request only. */
const POLICY = { ...DEFAULT_POLICY, retryRatio: 10, retryBurst: 100_000 };
const REPORT = {
  runningRequests: 0,
  queuedRequests: 0,
  usedMemoryMb: 0,
  loadedModels: [TEST_MODEL_TAG],
  loadingModels: [],
  leaving: false,
};
/** One server for each attempt of a request. */
const SERVER_NUMBERS = [1, 2, 3];
const HEAD_END = '\r\n\r\n';
const PROBE = '\r\n';
const LENGTH_PATTERN = /content-length: (\d+)/i;

/** A request as a backend server has read it. */
export interface ReceivedDispatch {
  /** Counts the dispatches of the run of the VM, from 1. */
  readonly number: number;
  /** Lines of the head with their names in lowercase. */
  readonly headers: ReadonlyMap<string, string>;
  readonly socket: Socket;
}

/** What a caller sends. */
export interface CallerRequest {
  /** Null for a request to the plain service of the given path. */
  readonly kind: CompletionKind | null;
  readonly path: string;
  readonly body: string;
  readonly httpVersion?: '1.0' | '1.1';
}

/** What a caller has received until its connection ended. */
export interface CallerResult {
  readonly bytes: string;
  /** True if the connection ended with a reset. */
  readonly isReset: boolean;
}

/** A running VM with its backend servers. */
export interface DispatchVm {
  readonly commands: readonly Command[];
  readonly events: readonly VmEvent[];
  readonly send: (request: CallerRequest) => Promise<CallerResult>;
  readonly close: () => void;
}

function readHeaders(head: string): Map<string, string> {
  const lines = head.split('\r\n').slice(1);
  return new Map(
    lines.map((line) => {
      const [name = '', value = ''] = line.split(/:(.*)/s);
      return [name.toLowerCase(), value.trim()];
    }),
  );
}

function startBackendServer(onRequest: (head: string, socket: Socket) => void): net.Server {
  const server = net.createServer((socket) => {
    let text = '';
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('data', (data) => {
      text += data.toString('latin1');
      const end = text.indexOf(HEAD_END);
      const length = Number(LENGTH_PATTERN.exec(text)?.[1] ?? 0);
      if (end >= 0 && text.length >= end + HEAD_END.length + length) {
        const head = text.slice(0, end);
        text = '';
        onRequest(head, socket);
      }
    });
  });
  server.listen(0, '127.0.0.1');
  return server;
}

function createInfo(requestId: string, { kind, path }: CallerRequest): RequestInfo {
  return kind === null
    ? createRouteRequest(requestId, 'mill', path)
    : createModelRequest(requestId, 'mill', 0, 0);
}

/** Starts a VM with three engines, which are also the servers of the routes `/booking` and `/lookup`. */
export async function startDispatchVm(
  onDispatch: (dispatch: ReceivedDispatch) => void,
): Promise<DispatchVm> {
  let dispatchCount = 0;
  const sockets = new Set<Socket>();
  const servers = SERVER_NUMBERS.map(() =>
    startBackendServer((head, socket) => {
      dispatchCount += 1;
      sockets.add(socket);
      onDispatch({ number: dispatchCount, headers: readHeaders(head), socket });
    }),
  );
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const addresses = servers.map((server) => `127.0.0.1:${(server.address() as AddressInfo).port}`);
  const createServers = (kind: 'engine' | 'service') =>
    addresses.map((address, i) =>
      createTestEngine(`${kind}-${SERVER_NUMBERS[i]}`, { address, kind }),
    );
  const routeServers = SERVER_NUMBERS.map((number) => `service-${number}`);
  const document = createTestDocument({
    workspaces: [createTestWorkspace('mill')],
    backendServers: [...createServers('engine'), ...createServers('service')],
    routes: [
      createTestRoute('booking', { backendServers: routeServers, costTokens: 0 }),
      createTestRoute('lookup', { backendServers: routeServers, costTokens: 0, idempotent: true }),
    ],
  });
  const state = createVmState(SELF, POLICY, 1, 0);
  stepVm(state, { kind: EventKind.ConfigurationReceived, head: createTestHead(1), document }, 0);
  SERVER_NUMBERS.forEach((number) => {
    const server = `engine-${number}`;
    stepVm(state, { kind: EventKind.LoadReported, server, report: REPORT }, 0);
  });

  const exchanges = new Map<string, Exchange>();
  const events: VmEvent[] = [];
  const commands: Command[] = [];
  const agent = new http.Agent({ keepAlive: true });
  const queue: VmEvent[] = [];
  let isHandling = false;
  const getNowMs = (): number => performance.now();
  const post = (event: VmEvent): void => {
    events.push(event);
    queue.push(event);
    if (isHandling) {
      return;
    }
    isHandling = true;
    while (queue.length > 0) {
      stepVm(state, queue.shift()!, getNowMs()).forEach((command) => {
        commands.push(command);
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        executors[command.kind]?.(command as never);
      });
    }
    isHandling = false;
  };
  const executors: { readonly [K in CommandKind]?: (command: CommandOf<K>) => void } = {
    [CommandKind.Dispatch]: (command) => {
      const exchange = exchanges.get(command.requestId)!;
      const context = { post, getNowMs, agent };
      if (exchange.completion === null) {
        dispatchToRoute(command, exchange, context);
      } else {
        dispatchToModel(command, exchange, exchange.completion, context);
      }
    },
    [CommandKind.CancelDispatch]: ({ requestId }) => exchanges.get(requestId)?.cancelDispatch?.(),
    [CommandKind.Refuse]: ({ refusal, requestId }) =>
      sendRefusal(exchanges.get(requestId)!, refusal),
    [CommandKind.AbortAnswer]: ({ refusal, requestId }) =>
      abortAnswer(exchanges.get(requestId)!, refusal),
  };

  let requestCount = 0;
  let current: CallerRequest | null = null;
  const front = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      requestCount += 1;
      const requestId = `request-${requestCount}`;
      const body = Buffer.concat(chunks);
      const { kind } = current!;
      const completion =
        kind === null ? null : decodeCompletionRequest(kind, body.toString(), 16).unsafeCoerce();
      const info = createInfo(requestId, current!);
      const fields = { info, request, response, body, completion, createdAtMs: 0 };
      exchanges.set(requestId, createExchange(fields));
      post({ kind: EventKind.RequestArrived, request: info });
    });
  });
  await new Promise<void>((resolve) => {
    front.listen(0, '127.0.0.1', resolve);
  });

  return {
    commands,
    events,
    send: (request) =>
      new Promise((resolve) => {
        current = request;
        const { body, httpVersion = '1.1', path } = request;
        const { port } = front.address() as AddressInfo;
        const socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true });
        const chunks: Buffer[] = [];
        let isReset = false;
        socket.on('data', (chunk) => chunks.push(chunk));
        socket.on('error', () => {
          isReset = true;
        });
        // A reset behind unread data may be reported as an end. Only a connection that was ended in order takes more.
        socket.on('end', () =>
          socket.write(PROBE, (error) => {
            isReset ||= error != null;
            socket.destroy();
          }),
        );
        socket.on('close', () => resolve({ bytes: Buffer.concat(chunks).toString(), isReset }));
        socket.write(
          `POST ${path} HTTP/${httpVersion}\r\nhost: x\r\nconnection: close\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
        );
      }),
    close: () => {
      agent.destroy();
      sockets.forEach((socket) => socket.destroy());
      servers.forEach((server) => server.close());
      front.closeAllConnections();
      front.close();
    },
  };
}
