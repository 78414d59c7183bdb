/**
 * The state of an attempt in progress, and what all attempts share.
 */
import type { ClientRequest } from 'node:http';
import type { EntryEvent } from '../../../coordination/entry/events.js';
import type { AnswerSource } from '../../../coordination/entry/passedRequest.js';
import type { BackendLoad } from '../../../state/entry/backends.js';
import type { RunState } from '../../../state/types.js';
import type { BodyReader } from '../../bodyReader.js';
import type { VmMemory } from '../../vmMemory.js';
import type { ForwardExchange } from '../callers/exchange.js';
import type { TurnPacer } from '../../turnPacer.js';
import type { EntryWire } from '../wire.js';
import type { SendCommand } from './attemptCommands.js';
import type { BackendAgents } from './backendAgent.js';
import type { EventPacer } from './eventPacer.js';
import type { ServerWitness } from './serverWitness.js';

/** Dependencies that all attempts share. */
export interface AttemptContext {
  readonly post: (event: EntryEvent) => void;
  readonly getNowMs: () => number;
  readonly agents: BackendAgents;
  readonly wire: EntryWire;
  /** Returns whether the ends of callers' connections may lie unread. */
  readonly isBehind: () => boolean;
  /** Shared by the streams of all attempts. */
  readonly eventPacer: EventPacer;
  readonly vmMemory: VmMemory;
  /** Shared by the answers of all attempts. */
  readonly turnPacer: TurnPacer;
}

/** An attempt in progress. */
export interface Attempt {
  readonly command: SendCommand;
  readonly exchange: ForwardExchange;
  readonly context: AttemptContext;
  request: ClientRequest | null;
  runState: RunState;
  load: BackendLoad | null;
  isSettled: boolean;
  /** True once the event loop has been told that the server has begun to answer. */
  isAnswerReported: boolean;
  /** True once the body has ended in order, after which its connection may close. */
  isBodyRead: boolean;
  readonly startedAtMs: number;
  progressAtMs: number;
  stallTimer: NodeJS.Timeout | null;
  /** The server whose answer another VM passes; null if a server answers itself, or before the answer. */
  source: AnswerSource | null;
  /** Shows whether the server outlives an answer without a length; null for any other answer. */
  witness: ServerWitness | null;
  /** Bytes received since the last that were part of an answer. */
  fruitlessBytes: number;
  /** Reads the body of the answer; null before its head. */
  bodyReader: BodyReader | null;
  /** Why the response is not read for now; empty while it is. */
  readonly pauseReasons: Set<string>;
}
