/**
 * What the executors of an entry VM's commands have in common: their dependencies and the type of their table.
 */
import type { Server } from 'node:http';
import type { EntryCommandKind, EntryCommandOf } from '../../coordination/entry/commands.js';
import type { EntryEvent } from '../../coordination/entry/events.js';
import type { EntryVmIdentity } from '../../coordination/entry/state.js';
import type { ControllerLease } from '../controllerLease.js';
import type { Metrics } from '../metrics.js';
import type { AttemptContext } from './servers/attemptState.js';
import type { EntryLogWriter } from './monitoring/entryLog.js';
import type { EntryPeerClient, EntryReplies } from './peers/entryPeers.js';
import type { ForwardExchange } from './callers/exchange.js';
import type { PeerCallCounter } from './peers/peerCallCounter.js';
import type { StoreAccess, WatchContext } from './store/storeWatches.js';
import type { SuspensionDetector } from './lifecycle/suspensionDetector.js';
import type { VmRegistration } from './store/vmRegistration.js';
import type { EntryWire } from './wire.js';

/** Dependencies of the executors. */
export interface EntryCommandContext {
  readonly self: EntryVmIdentity;
  readonly post: (event: EntryEvent) => void;
  readonly wire: EntryWire;
  readonly exchanges: Map<string, ForwardExchange>;
  readonly attempts: AttemptContext;
  readonly peers: EntryPeerClient;
  readonly peerCalls: PeerCallCounter;
  readonly replies: EntryReplies;
  readonly createReplyId: () => string;
  readonly watches: WatchContext;
  readonly storeAccess: StoreAccess;
  readonly registration: VmRegistration;
  readonly controllerLease: ControllerLease;
  readonly controllerLeaseMs: number;
  readonly suspension: SuspensionDetector;
  readonly getNowMs: () => number;
  readonly metrics: Metrics;
  readonly writeLog: EntryLogWriter;
  readonly server: Server;
  readonly setLimits: (limits: EntryCommandOf<typeof EntryCommandKind.SetLimits>['limits']) => void;
  readonly setReady: (isReady: boolean) => void;
  readonly stopAccepting: () => void;
  readonly exit: () => void;
}

/** The event loop executes these itself. */
export type TimerKind = typeof EntryCommandKind.StartTimer | typeof EntryCommandKind.CancelTimer;
/** Executes one kind of command. Must not block. */
export type Executor<K extends EntryCommandKind> = (command: EntryCommandOf<K>) => void;
export type ExecutorTable = { readonly [K in Exclude<EntryCommandKind, TimerKind>]: Executor<K> };
