/**
 * Starts the daemon of a VM: creates its event loop, servers and clients and connects them.
 */
import http, { type Server } from 'node:http';
import { getHeapStatistics } from 'node:v8';
import { randomBytes } from 'node:crypto';
import { Cause, Clock, Effect, Exit } from 'effect';
import { EventKind, LogLevel, type VmEvent, LogPrefix } from '../coordination/events.js';
import { describeServers, describeVms } from '../coordination/fleetView.js';
import { createLoop, readClockMs } from '../coordination/loop.js';
import { addSeedMembers, findLiveMembers } from '../coordination/members.js';
import { createVmState, type VmIdentity } from '../coordination/vmState.js';
import { DEFAULT_POLICY, type Policy } from '../coordination/policy.js';
import { createRandom, nextRandom } from '../state/random.js';
import { DEFAULT_OBJECTIVE } from '../state/burn.js';
import type { Objective } from '../state/types.js';
import { createAdminServer } from './adminServer.js';
import { collectBurnReport } from './burnReport.js';
import { createCallerServer } from './callerServer.js';
import { createClaims } from './claims.js';
import { createCommandTable } from './commandTable.js';
import { createConfigurationSource } from './configurationSource.js';
import { createControllerLease } from './controllerLease.js';
import { createEditor } from './editor.js';
import type { Exchange } from './exchange.js';
import { listen } from './listen.js';
import { createLog } from './logger.js';
import { createMetrics } from './metrics.js';
import { createPeerClient, createPeerServer, type PendingReplies } from './peers.js';
import type { Settings } from './settings.js';
import { createEtcdStore } from './etcdStore.js';
import { createTurnPacer, hasMuchGarbage } from './turnPacer.js';
import {
  createVmMemory,
  getHoldableBytes,
  MEMORY_SHARES,
  MemoryPurpose,
  type VmMemory,
} from './vmMemory.js';

const INCARNATION_BYTES = 8;
const MAX_SOCKETS_PER_SERVER = 1024;
const BYTES_PER_MB = 1_048_576;

/** A running daemon. */
export interface Daemon {
  /** Starts a graceful shutdown. */
  readonly stop: () => void;
  /** Resolves when all servers of the daemon are closed. */
  readonly ended: Promise<void>;
}

function createIncarnation(): string {
  return randomBytes(INCARNATION_BYTES).toString('hex');
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}

function createPolicy(settings: Settings): Policy {
  const { drainTimeoutMs, gossipIntervalMs, unreadyMs } = settings;
  return { ...DEFAULT_POLICY, drainTimeoutMs, gossipIntervalMs, unreadyMs };
}

/** Creates the memory for what callers send. A single body within the limit always has room. */
function createCallerMemory({ maxBodyBytes, memoryMb }: Settings): VmMemory {
  const memoryBytes = memoryMb * BYTES_PER_MB || getHeapStatistics().heap_size_limit;
  const { fraction } = MEMORY_SHARES[MemoryPurpose.RequestBodies];
  return createVmMemory(Math.max(getHoldableBytes(memoryBytes), maxBodyBytes / fraction));
}

function createIdentity(settings: Settings, wallMs: number): VmIdentity {
  const { failureDomain, peerAddress, vmId } = settings;
  // The heartbeat grows by one per gossip round, more slowly than the wall clock in milliseconds, so the
  // next process of this VM starts above the last heartbeat of this one.
  return {
    vmId,
    incarnation: createIncarnation(),
    failureDomain,
    peerAddress,
    firstHeartbeat: wallMs,
  };
}

/** Creates a generator of ids unique in this process; with the incarnation as prefix, in the fleet. */
function createIdGenerator(prefix: string): () => string {
  let count = 0;
  return () => {
    count += 1;
    return `${prefix}-${count.toString(36)}`;
  };
}

/**
 * Starts a daemon. The peer address is bound first and released last, so two processes of one VM never
 * run at the same time and a new process can safely adopt the share of the previous one.
 *
 * @throws DiagnosticError if an address is one on which no process can listen.
 */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const writeLog = createLog(settings.logLevel, settings.vmId);
  const clock = Effect.runSync(Clock.clockWith(Effect.succeed));
  const getNowMs = (): number => readClockMs(clock);
  const getWallMs = (): number => clock.currentTimeMillisUnsafe();
  const self = createIdentity(settings, getWallMs());
  const seed = randomBytes(4).readUInt32LE();
  const random = createRandom(seed);
  const state = createVmState(self, createPolicy(settings), seed, getNowMs());
  addSeedMembers(
    state,
    settings.peers.map((peer) => ({ vmId: peer, peerAddress: peer })),
  );

  const eventSink: { post: (event: VmEvent) => void } = { post: () => {} };
  const post = (event: VmEvent): void => eventSink.post(event);
  const ready = { isReady: false };
  const exchanges = new Map<string, Exchange>();
  const replies: PendingReplies = { gossip: new Map(), loans: new Map() };
  const metrics = createMetrics();
  const store = createEtcdStore(settings.storeAddresses, settings.storeTimeoutMs);
  const peers = createPeerClient();
  const configurationSource = createConfigurationSource({
    store,
    post,
    nextRandom: () => nextRandom(random),
    countMembers: () => state.members.size,
  });
  const { incarnation, peerAddress, vmId } = self;
  const claims = createClaims({
    store,
    self: { vmId, incarnation, peerAddress },
    getNowMs,
    fetchClaimState: (holder, claimId) =>
      Effect.orElseSucceed(peers.fetchOutcome(holder.peerAddress, claimId), () => null),
  });
  const getConfiguration = () => state.configuration;
  const isReady = (): boolean => ready.isReady;

  const findLivePeers = () => findLiveMembers(state, getNowMs());
  const getObjective = (workspace: string): Objective =>
    state.configuration?.workspacesByName.get(workspace)?.objective ?? DEFAULT_OBJECTIVE;

  const vmMemory = createCallerMemory(settings);
  const callerServer = createCallerServer({
    post,
    getWallMs,
    getConfiguration,
    isReady,
    exchanges,
    createRequestId: createIdGenerator(incarnation),
    vmMemory,
    turnPacer: createTurnPacer(() => hasMuchGarbage(vmMemory)),
    limits: settings,
  });
  const peerServer = createPeerServer({
    post,
    replies,
    createReplyId: createIdGenerator('reply'),
    getRevision: configurationSource.getCurrent,
    findClaim: claims.getOwnClaim,
    getMeasures: () => metrics.getMeasures(getNowMs()),
  });
  const adminServer = createAdminServer({
    source: configurationSource,
    editor: createEditor(store, configurationSource),
    metrics,
    collectBurnReport: Effect.suspend(() =>
      collectBurnReport({ peers, metrics, getNowMs, getConfiguration, findLivePeers }),
    ),
    getConfiguration,
    describeVms: () => describeVms(state, getNowMs()),
    describeServers: () => describeServers(state, getNowMs()),
    isReady,
    bootstrapToken: settings.bootstrapToken,
    writeLog,
  });

  let resolveEnded = (): void => {};
  const ended = new Promise<void>((resolve) => {
    resolveEnded = resolve;
  });
  const closeServers = (): void => {
    void closeServer(callerServer)
      .then(() => closeServer(adminServer))
      .then(() => closeServer(peerServer))
      .then(resolveEnded);
  };

  const loop = createLoop(
    state,
    createCommandTable({
      self,
      post,
      exchanges,
      dispatch: {
        post,
        getNowMs,
        agent: new http.Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_SERVER }),
      },
      claims,
      controllerLease: createControllerLease(store, incarnation),
      store,
      peers,
      replies,
      configurationSource,
      metrics,
      getObjective,
      writeLog,
      setReady: (isReadyNow) => {
        ready.isReady = isReadyNow;
      },
      exit: closeServers,
    }),
  );
  eventSink.post = loop.post;

  const listenOn = (server: Server, address: string): Promise<void> =>
    listen(server, address, (reason) =>
      writeLog(LogLevel.Warn, LogPrefix.Lifecycle, 'An address cannot be used yet.', {
        address,
        reason,
      }),
    );
  await listenOn(peerServer, settings.peerAddress);
  await listenOn(callerServer, settings.listenAddress);
  await listenOn(adminServer, settings.adminAddress);
  Effect.runFork(
    Effect.onExit(loop.run, (result) =>
      Effect.sync(() => {
        const detail = Exit.isFailure(result) ? Cause.pretty(result.cause) : '';
        writeLog(LogLevel.Error, LogPrefix.Lifecycle, 'The event loop stopped unexpectedly.', {
          detail,
        });
        process.exitCode = 1;
        closeServers();
      }),
    ),
  );
  Effect.runFork(configurationSource.run);
  post({ kind: EventKind.GossipTick });
  post({ kind: EventKind.ShareTick });
  post({ kind: EventKind.LoadPollTick });
  post({ kind: EventKind.ControllerTick });
  writeLog(LogLevel.Info, LogPrefix.Lifecycle, 'The daemon has started.', {
    callers: settings.listenAddress,
    peers: settings.peerAddress,
    admin: settings.adminAddress,
  });
  return { stop: () => post({ kind: EventKind.StopRequested }), ended };
}
