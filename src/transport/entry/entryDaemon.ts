/**
 * Starts the daemon of an entry VM that forwards requests unchanged: creates the event loop, the servers for callers,
 * readiness probes, peers and metrics, and the clients of the store, peers and backend servers.
 */
import { randomBytes } from 'node:crypto';
import type { Server } from 'node:net';
import { Cause, Clock, Effect, Exit } from 'effect';
import { type EntryCommand, EntryLogPrefix } from '../../coordination/entry/commands.js';
import { CloseCause } from '../../coordination/entry/closeCause.js';
import { type EntryEvent, EntryEventKind } from '../../coordination/entry/events.js';
import { stepEntry } from '../../coordination/entry/handlers.js';
import {
  createEntryState,
  type EntryState,
  isShuttingDown,
} from '../../coordination/entry/state.js';
import { LogLevel } from '../../coordination/events.js';
import { createRefusal } from '../../coordination/requestCompletion.js';
import { createEventLoop, readClockMs, readPreciseClockMs } from '../../coordination/loop.js';
import { createDiagnostic, Diagnostics } from '../../state/diagnostics.js';
import type { CallerLimits } from '../../state/entry/deployment.js';
import { RunStatus } from '../../state/types.js';
import { createStoreMirror } from '../../state/entry/storeMirror.js';
import { createRandom, nextRandom } from '../../state/random.js';
import { createControllerLease } from '../controllerLease.js';
import type { PrefixStore } from '../keyValueStore.js';
import { listen } from '../listen.js';
import { createMetrics } from '../metrics.js';
import { describeThrown } from '../thrownValues.js';
import { createVmMemory, getHoldableBytes, getMaxUncollectedBytes } from '../vmMemory.js';
import { createBackendAgents } from './servers/backendAgent.js';
import { createCallerConnections } from './callers/callerConnections.js';
import { createEntryCommandExecutor } from './commandTable.js';
import { type EntryLog, logUnexpectedError } from './monitoring/entryLog.js';
import {
  createEntryPeerClient,
  createEntryPeerServer,
  type EntryReplies,
} from './peers/entryPeers.js';
import { abortForwardAnswer, type ForwardExchange } from './callers/exchange.js';
import { getStopLeftMs, limitEndStep } from './lifecycle/endSteps.js';
import { deregisterVm } from './store/deregistration.js';
import { createEventPacer } from './servers/eventPacer.js';
import { createForwardServer, createReadinessServer } from './callers/forwardServer.js';
import { closeIdleForNew } from './callers/idleConnections.js';
import { createLoopDelayMonitor } from './monitoring/loopDelay.js';
import { createLoopWorkMeter, measureReading, ReadingWork } from './monitoring/loopWork.js';
import { createPeerCallCounter } from './peers/peerCallCounter.js';
import { createMalformedEntries } from './store/malformedEntries.js';
import { createMemoryMonitor, readMemoryUsage } from './monitoring/memoryMonitor.js';
import { createMetricsServer } from './monitoring/metricsServer.js';
import { handlePassedRequest } from './peers/passServer.js';
import { EndReason } from './lifecycle/processEnd.js';
import { createEntryPolicy, type EntrySettings } from './settings.js';
import { StartPart, type StartReport } from './lifecycle/startReport.js';
import { encodeControllerLeaseHolder, EntryKey } from './store/storeKeys.js';
import {
  createConfigurationDecoder,
  createConfigurationGuard,
  createStoreAccess,
  createWatchContext,
} from './store/storeWatches.js';
import { createSuspensionDetector } from './lifecycle/suspensionDetector.js';
import { createTurnPacer, hasMuchGarbage } from '../turnPacer.js';
import { createVmRegistration } from './store/vmRegistration.js';
import type { EntryWire } from './wire.js';

const INCARNATION_BYTES = 8;
/** File descriptors reserved for files, the store, peers and backend servers. */
const RESERVED_DESCRIPTORS = 800;
/** Fraction of the remaining descriptors that may be used for connections of callers. */
const CALLER_DESCRIPTOR_FRACTION = 0.7;
const MIN_CALLER_CONNECTIONS = 256;
/** Fraction of the descriptors that are not for callers that may be used for connections of other VMs. */
const PEER_DESCRIPTOR_FRACTION = 0.7;
const MIN_PEER_CONNECTIONS = 128;
const BYTES_PER_MB = 1_048_576;
/** Time limit for deleting this VM's registration when the process ends. */
const DEREGISTRATION_TIMEOUT_MS = 300;

/** Settings and dependencies of a daemon. */
export interface EntryDaemonOptions {
  readonly settings: EntrySettings;
  readonly metricsPort: number;
  readonly store: PrefixStore;
  readonly wire: EntryWire;
  readonly log: EntryLog;
  readonly startReport: StartReport;
}

/** A running daemon. */
export interface EntryDaemon {
  /** Starts a graceful shutdown. */
  readonly stop: () => void;
  /** Applies the limits of changed settings. */
  readonly reload: (settings: EntrySettings) => void;
  /** Resolves with the reason when the daemon has shut down. */
  readonly ended: Promise<EndReason>;
  /** Returns the time that a shutdown has left for its last steps; infinite if none was requested. */
  readonly getEndLeftMs: () => number;
}

function createIdGenerator(prefix: string): () => string {
  let count = 0;
  return () => {
    count += 1;
    return `${prefix}-${count.toString(36)}`;
  };
}

function getMaxCallerConnections(maxDescriptors: number): number {
  const callerDescriptors = Math.floor(
    (maxDescriptors - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_FRACTION,
  );
  return Math.max(MIN_CALLER_CONNECTIONS, callerDescriptors);
}

function getMaxPeerConnections(maxDescriptors: number): number {
  const otherDescriptors = maxDescriptors - getMaxCallerConnections(maxDescriptors);
  return Math.max(MIN_PEER_CONNECTIONS, Math.floor(otherDescriptors * PEER_DESCRIPTOR_FRACTION));
}

/**
 * Starts a daemon. It becomes ready when it has received a configuration and the list of backend servers.
 *
 * @throws DiagnosticError if the process cannot listen on an address.
 */
export async function startEntryDaemon(options: EntryDaemonOptions): Promise<EntryDaemon> {
  const { log, metricsPort, settings, startReport, store, wire } = options;
  const writeLog = log.write;
  const clock = Effect.runSync(Clock.clockWith(Effect.succeed));
  const getNowMs = (): number => readClockMs(clock);
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
  const { failureDomain, peerAddress, processorShare, vmId } = settings;
  const self = { vmId, incarnation, failureDomain, peerAddress, processorShare };
  const seed = randomBytes(4).readUInt32LE();
  const random = createRandom(seed);
  const state = createEntryState(
    self,
    createEntryPolicy(settings),
    seed,
    getNowMs(),
    settings.regionsByDomain,
  );

  const eventSink: { post: (event: EntryEvent) => void } = { post: () => {} };
  const post = (event: EntryEvent): void => eventSink.post(event);
  const exchanges = new Map<string, ForwardExchange>();
  const replies: EntryReplies = { exchanges: new Map(), adapters: new Map(), loans: new Map() };
  const decodeConfiguration = createConfigurationDecoder(wire);
  const mirror = createStoreMirror(createConfigurationGuard(wire, decodeConfiguration));
  const metrics = createMetrics();
  const loopWork = createLoopWorkMeter(() => readPreciseClockMs(clock));
  const agents = createBackendAgents((socket) =>
    measureReading(socket, ReadingWork.Answers, loopWork),
  );
  const memoryBytes = settings.memoryMb * BYTES_PER_MB;
  const vmMemory = createVmMemory(getHoldableBytes(memoryBytes));
  const maxUncollectedBytes = getMaxUncollectedBytes(memoryBytes);
  const answerPacer = createTurnPacer();
  const bodyPacer = createTurnPacer(() => hasMuchGarbage(vmMemory, maxUncollectedBytes));
  const peers = createEntryPeerClient();
  const current: { limits: CallerLimits | null; isReady: boolean } = {
    limits: null,
    isReady: false,
  };
  const malformedEntries = createMalformedEntries(writeLog);
  const watches = createWatchContext({
    store,
    wire,
    post,
    writeLog,
    nextRandom: () => nextRandom(random),
    decodeConfiguration,
    mirror,
    malformedEntries,
    isController: () => state.placement.fence !== null,
    getWatchWaitMs: () => state.policy.watchWaitMs,
    getMaxStoreAgeMs: () => state.policy.maxStoreAgeMs,
    getNowMs,
    getWallMs: () => clock.currentTimeMillisUnsafe(),
  });
  const storeAccess = createStoreAccess(watches);
  const registration = createVmRegistration(store, self, writeLog, malformedEntries, (vms) =>
    post({ kind: EntryEventKind.VmsRead, vms }),
  );
  const suspension = createSuspensionDetector(
    getNowMs,
    () => clock.currentTimeMillisUnsafe(),
    (lostMs) => {
      storeAccess.invalidate();
      post({ kind: EntryEventKind.Suspended, lostMs });
    },
  );

  const peerCalls = createPeerCallCounter();
  const loopDelay = createLoopDelayMonitor(getNowMs, (delayMs) => {
    writeLog(LogLevel.Warn, EntryLogPrefix.Lifecycle, 'The loop was late.', {
      delayMs,
      busiest: loopWork.takeBusiest(),
      requests: state.requests.size,
      isController: state.placement.fence !== null,
    });
  });
  createMemoryMonitor({
    maxBytes: settings.memoryMb * BYTES_PER_MB,
    readUsage: readMemoryUsage,
    getNowMs,
    onHigh: (fields) =>
      writeLog(LogLevel.Warn, EntryLogPrefix.Lifecycle, 'The memory is nearly used up.', {
        ...fields,
        heldMb: Math.round(vmMemory.getTotalUsedBytes() / BYTES_PER_MB),
        requests: state.requests.size,
      }),
  });
  const callerConnections = createCallerConnections();
  const server = createForwardServer({
    post,
    writeLog,
    connections: callerConnections,
    wire,
    exchanges,
    createRequestId: createIdGenerator('request'),
    getLimits: () => current.limits,
    isShuttingDown: () => isShuttingDown(state),
    maxConnections: getMaxCallerConnections(settings.maxDescriptors),
    vmMemory,
    turnPacer: bodyPacer,
    loopDelay,
  });
  server.on('connection', answerPacer.recordConnection);
  server.on('connection', bodyPacer.recordConnection);
  server.on('connection', (socket) => {
    measureReading(socket, ReadingWork.Requests, loopWork);
  });
  const readyServer = createReadinessServer(wire.readyPath, () => current.isReady);
  const createReplyId = createIdGenerator('reply');
  const passContext = {
    ...{ post, wire, exchanges, vmMemory, turnPacer: bodyPacer, loopDelay },
    createRequestId: createIdGenerator('passed'),
    getLimits: () => current.limits,
  };
  const peerServer = createEntryPeerServer({
    post,
    replies,
    createReplyId,
    mirror,
    configurationKey: wire.configurationKey,
    handlePassedRequest: (request, response) => handlePassedRequest(passContext, request, response),
    getConfigurationVersion: () => state.deployment?.version ?? 0,
    getStoreAgeMs: () =>
      storeAccess.isCurrent() ? getNowMs() - storeAccess.getConfirmedAtMs() : null,
    getKnownAgeMs: storeAccess.getKnownAgeMs,
  });
  const recordPassed = closeIdleForNew(
    peerServer,
    getMaxPeerConnections(settings.maxDescriptors),
    () => true,
    () => {},
  );
  peerServer.on('request', recordPassed);
  const metricsServer = createMetricsServer({
    metrics,
    state,
    log,
    loopDelay,
    loopWork,
    peerCalls,
    callerConnections,
    storeAccess,
    malformedEntries,
    vmMemory,
    getNowMs,
  });

  let resolveEnded: (reason: EndReason) => void = () => {};
  const ended = new Promise<EndReason>((resolve) => {
    resolveEnded = resolve;
  });
  const getEndLeftMs = (): number => getStopLeftMs(state, getNowMs());
  const exit = (reason: EndReason): void => {
    const timeoutMs = limitEndStep(DEREGISTRATION_TIMEOUT_MS, getEndLeftMs() / 2);
    void deregisterVm({ registration, timeoutMs, getNowMs, writeLog }).then(() =>
      resolveEnded(reason),
    );
  };
  const stopAccepting = (): void => {
    if (server.listening) {
      server.close();
    }
    server.closeIdleConnections();
  };

  /** Answers the request of an event that could not be handled; without an answer its caller would wait in vain. */
  const failRequestOf = (event: EntryEvent): void => {
    const requestId =
      event.kind === EntryEventKind.RequestArrived
        ? event.request.requestId
        : 'requestId' in event && event.requestId;
    const exchange = requestId === false ? undefined : exchanges.get(requestId);
    if (exchange !== undefined) {
      const diagnostic = createDiagnostic(Diagnostics.InternalError);
      exchange.cancel?.run();
      abortForwardAnswer(exchange, createRefusal(diagnostic, RunStatus.Unknown), wire);
      exchanges.delete(exchange.requestId);
      const kind = EntryEventKind.CallerDisconnected;
      post({ kind, requestId: exchange.requestId, closedBy: CloseCause.Error });
    }
  };
  const execute = createEntryCommandExecutor({
    self,
    post,
    wire,
    exchanges,
    attempts: {
      post,
      getNowMs,
      agents,
      wire,
      isBehind: loopDelay.isBehind,
      eventPacer: createEventPacer(getNowMs),
      vmMemory,
      turnPacer: answerPacer,
    },
    peers,
    peerCalls,
    replies,
    createReplyId,
    watches,
    storeAccess,
    registration,
    controllerLease: createControllerLease(
      store,
      encodeControllerLeaseHolder({ vmId, incarnation, peerAddress }),
      EntryKey.Controllers,
    ),
    controllerLeaseMs: state.policy.controllerLeaseMs,
    suspension,
    getNowMs,
    metrics,
    writeLog,
    server,
    setLimits: (limits) => {
      current.limits = limits;
      startReport.finish(StartPart.Configuration);
    },
    setReady: (isReady) => {
      current.isReady = isReady;
      if (isReady) {
        startReport.finish(StartPart.Servers);
        const times = startReport.getTimes();
        writeLog(LogLevel.Info, EntryLogPrefix.Lifecycle, 'The start has ended.', times);
      }
    },
    stopAccepting,
    exit: () => exit(EndReason.StopRequested),
  });
  const loop = createEventLoop<EntryState, EntryEvent, EntryCommand>({
    state,
    step: (loopState, event, nowMs) =>
      loopWork.measure(event.kind, () => stepEntry(loopState, event, nowMs)),
    execute: (command, timers) => loopWork.measure(command.kind, () => execute(command, timers)),
    onError: (event, error) => {
      const text = 'An event could not be handled.';
      const detail = describeThrown(error);
      writeLog(LogLevel.Error, EntryLogPrefix.Lifecycle, text, { event: event.kind, detail });
      failRequestOf(event);
    },
  });
  // After a suspension, the event loop learns of it before the first event that is posted then.
  eventSink.post = (event) => {
    suspension.check();
    loop.post(event);
  };

  const listenOn = (serverToStart: Server, address: string): Promise<void> =>
    listen(serverToStart, address, (reason) =>
      writeLog(LogLevel.Warn, EntryLogPrefix.Lifecycle, 'An address cannot be used yet.', {
        address,
        reason,
      }),
    );
  await listenOn(readyServer, settings.readyAddress);
  await listenOn(server, settings.listenAddress);
  await listenOn(peerServer, settings.peerAddress);
  startReport.finish(StartPart.Ports);
  // The VM serves its callers also without its metrics.
  listenOn(metricsServer, `${settings.host}:${metricsPort}`).catch((error: unknown) =>
    logUnexpectedError(writeLog, error),
  );
  Effect.runFork(
    Effect.onExit(loop.run, (result) =>
      Effect.sync(() => {
        const detail = Exit.isFailure(result) ? Cause.pretty(result.cause) : '';
        writeLog(LogLevel.Error, EntryLogPrefix.Lifecycle, 'The event loop stopped unexpectedly.', {
          detail,
        });
        exit(EndReason.LoopStopped);
      }),
    ),
  );
  Effect.runFork(storeAccess.run);
  Effect.runFork(registration.run);
  post({ kind: EntryEventKind.MaintenanceTick });
  post({ kind: EntryEventKind.PeerTick });
  post({ kind: EntryEventKind.ControllerTick });
  writeLog(LogLevel.Info, EntryLogPrefix.Lifecycle, 'The daemon has started.', {
    callers: settings.listenAddress,
    peers: settings.peerAddress,
    store: settings.storeAddress,
    incarnation,
  });
  return {
    stop: () => post({ kind: EntryEventKind.StopRequested }),
    reload: (changed) =>
      post({ kind: EntryEventKind.SettingsRead, policy: createEntryPolicy(changed) }),
    ended,
    getEndLeftMs,
  };
}
