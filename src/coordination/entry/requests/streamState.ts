/**
 * The part of the state that decides at which software version a stream goes on.
 */
import { createStreamOrigins, type StreamOrigins } from '../../../state/entry/streamOrigins.js';

/** What became of requests that take up streams. */
export const TakeUpResult = {
  /** The version that began the stream was known, or could be only one. */
  Resumed: 'resumed',
  /** It is not known, and several may have begun the stream. */
  UnknownVersion: 'unknown_version',
  /** Only one may have begun it, as far as this VM knows, but nothing confirmed that it knows all servers. */
  Unconfirmed: 'unconfirmed',
  /** No server of the version is registered. */
  NoServer: 'no_server',
} as const;
export type TakeUpResult = (typeof TakeUpResult)[keyof typeof TakeUpResult];

/** What is due by a timer for the origins of streams. */
export const StreamOriginsTask = { Read: 'read', Write: 'write' } as const;
export type StreamOriginsTask = (typeof StreamOriginsTask)[keyof typeof StreamOriginsTask];

/** What a VM has asked since a request arrived that takes up a stream which this VM does not know. Mutable. */
export interface StreamRecall {
  readonly startedAtMs: number;
  /** Number of reads that had started before: they may have missed what was written until the request arrived. */
  readonly readsBefore: number;
  /** The first successful read: when it started, and the revision of the store at it; null before that. */
  firstRead: { readonly atMs: number; readonly revision: number } | null;
  /** Start of the last successful read. */
  lastReadAtMs: number;
  /** True if the last read failed. */
  hasReadFailed: boolean;
}

/** One key of the store to which this VM adds origins until it has enough of them. */
export interface StreamBatch {
  readonly number: number;
  /** Version of the key in the store; 0 before it was written. */
  version: number;
  /** The digests that it has. */
  readonly digests: string[];
}

/** Mutable. */
export interface StreamVersionState {
  readonly origins: StreamOrigins;
  /** Digests of the streams that this VM has begun and not written to the store. */
  readonly unwritten: Set<string>;
  batch: StreamBatch;
  /** The digests that are being written; null if no write is in progress. */
  writing: readonly string[] | null;
  /** True if a stream that was not written has broken off, so that its caller may take it up at another VM. */
  isWriteUrgent: boolean;
  isWriteScheduled: boolean;
  /** Time of the last write. */
  writtenAtMs: number;
  isReading: boolean;
  readAtMs: number;
  /** Time at which it is looked at again what requests wait for; not finite if none waits. */
  readTickAtMs: number;
  /** Time at which the relay was last asked for what requests wait for. */
  relayAskedAtMs: number;
  /** Number of reads that have started. */
  readCount: number;
  /** True once this VM knows the versions that were in service before it started, and while it did not hear the store. */
  isPastKnown: boolean;
  /** End of the last time for which this VM did not hear the store; not finite before the first one. */
  gapEndedAtMs: number;
  readonly takeUps: Map<TakeUpResult, number>;
}

/** Creates an empty batch, to be written under a key of its own. */
export function createStreamBatch(number: number): StreamBatch {
  return { number, version: 0, digests: [] };
}

/** Creates the state of a process that has just started. */
export function createStreamVersionState(): StreamVersionState {
  return {
    origins: createStreamOrigins(),
    unwritten: new Set(),
    batch: createStreamBatch(1),
    writing: null,
    isWriteUrgent: false,
    isWriteScheduled: false,
    writtenAtMs: Number.NEGATIVE_INFINITY,
    isReading: false,
    readAtMs: Number.NEGATIVE_INFINITY,
    readTickAtMs: Number.POSITIVE_INFINITY,
    relayAskedAtMs: Number.NEGATIVE_INFINITY,
    readCount: 0,
    isPastKnown: false,
    gapEndedAtMs: Number.NEGATIVE_INFINITY,
    takeUps: new Map(),
  };
}
