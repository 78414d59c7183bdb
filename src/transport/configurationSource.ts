/**
 * Obtains configuration revisions for this VM from the store, whose head key it watches and polls, and
 * from peers that have a later revision. Section texts are fetched by content hash; those of the current
 * revision are kept and reused.
 */
import { Effect } from 'effect';
import { EventKind, type VmEvent } from '../coordination/events.js';
import {
  createSectionParser,
  decodeHead,
  hashSha256,
  type SectionTexts,
} from '../protocol/documentText.js';
import type { StoredValue } from '../protocol/storeMessages.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { ALL_SECTIONS, type Head, type Section } from '../state/types.js';
import type { EtcdStore } from './etcdStore.js';

export const HEAD_KEY = 'head';
export const BLOB_PREFIX = 'blobs/';

const MIN_RETRY_DELAY_MS = 500;
/** Mean poll interval of a single VM. A watch can fail without an error, so the head is also polled. */
const POLL_INTERVAL_MS = 1_500;
/** Added to the poll interval per known VM; spreads the reads of a large fleet over a longer time. */
const POLL_INTERVAL_PER_MEMBER_MS = 10;

/** A configuration revision with the texts of its sections. */
export interface RevisionWithTexts {
  readonly head: Head;
  readonly texts: SectionTexts;
}

/** Maps content hashes to section texts, as sent between peers. */
export type TextsByHash = ReadonlyMap<string, string>;

/** The interface of the configuration source to the daemon. */
export interface ConfigurationSource {
  /** Watches and polls the store until interrupted. */
  readonly run: Effect.Effect<never>;
  /** Returns the latest revision that was loaded completely and is valid; null before the first. */
  readonly getCurrent: () => RevisionWithTexts | null;
  /**
   * Applies a revision from a peer, the store or an edit of this VM if it is later than the current
   * one. Changed sections that `blobs` does not contain are read from the store.
   */
  readonly offer: (head: Head, blobs: TextsByHash) => Effect.Effect<void>;
}

/** The dependencies of a configuration source. */
export interface ConfigurationSourceContext {
  readonly store: EtcdStore;
  readonly post: (event: VmEvent) => void;
  /** Returns a number in [0, 1), which spreads the reads of many VMs over time. */
  readonly nextRandom: () => number;
  /** Returns the number of other known VMs; the more there are, the longer reads are spread. */
  readonly countMembers: () => number;
}

const MAX_READ_DELAY_PER_MEMBER_MS = 2;
const MAX_READ_DELAY_MS = 1_000;

/** Creates a configuration source without a current revision. */
export function createConfigurationSource(
  context: ConfigurationSourceContext,
): ConfigurationSource {
  const { post, store } = context;
  const parse = createSectionParser();
  let current: RevisionWithTexts | null = null;

  const reject = (revision: number, diagnostic: Diagnostic): void => {
    post({ kind: EventKind.ConfigurationRejected, revision, diagnostic });
  };

  const findLocalText = (
    section: Section,
    hash: string,
    blobs: TextsByHash,
  ): string | undefined => {
    if (current?.head.sections[section] === hash) {
      return current.texts[section];
    }
    const text = blobs.get(hash);
    return text !== undefined && hashSha256(text) === hash ? text : undefined;
  };

  const loadText = (
    section: Section,
    hash: string,
    blobs: TextsByHash,
  ): Effect.Effect<string, Diagnostic> => {
    const localText = findLocalText(section, hash, blobs);
    if (localText !== undefined) {
      return Effect.succeed(localText);
    }
    return Effect.flatMap(store.get(BLOB_PREFIX + hash), (stored) =>
      stored !== null && hashSha256(stored.value) === hash
        ? Effect.succeed(stored.value)
        : Effect.fail(createDiagnostic(Diagnostics.MissingBlob, section, hash)),
    );
  };

  const loadTexts = (head: Head, blobs: TextsByHash): Effect.Effect<SectionTexts, Diagnostic> =>
    Effect.gen(function* loadAll() {
      const texts: [Section, string][] = [];
      for (const section of ALL_SECTIONS) {
        texts.push([section, yield* loadText(section, head.sections[section], blobs)]);
      }
      return Object.fromEntries(texts) as SectionTexts;
    });

  const accept = (head: Head, texts: SectionTexts): void => {
    if (head.revision <= (current?.head.revision ?? 0)) {
      return;
    }
    parse(texts).caseOf({
      Left: ([first]) => {
        reject(head.revision, first ?? createDiagnostic(Diagnostics.InternalError));
      },
      Right: (document) => {
        current = { head, texts };
        post({ kind: EventKind.ConfigurationReceived, head, document });
      },
    });
  };

  const offer = (head: Head, blobs: TextsByHash): Effect.Effect<void> =>
    Effect.suspend(() => {
      const currentRevision = current?.head.revision ?? 0;
      if (head.revision < currentRevision) {
        const diagnostic = createDiagnostic(Diagnostics.StaleHead, head.revision, currentRevision);
        reject(head.revision, diagnostic);
        return Effect.void;
      }
      if (head.revision === currentRevision) {
        return Effect.void;
      }
      return Effect.match(loadTexts(head, blobs), {
        onFailure: (diagnostic) => reject(head.revision, diagnostic),
        onSuccess: (texts) => accept(head, texts),
      });
    });

  const delayRandomly = Effect.suspend(() => {
    const maxDelayMs = Math.min(
      MAX_READ_DELAY_MS,
      context.countMembers() * MAX_READ_DELAY_PER_MEMBER_MS,
    );
    return Effect.sleep(Math.round(maxDelayMs * context.nextRandom()));
  });

  const offerStored = (stored: StoredValue): Effect.Effect<void> =>
    decodeHead(stored.value).caseOf<Effect.Effect<void>>({
      Left: (diagnostic) => Effect.sync(() => reject(0, diagnostic)),
      Right: (head) => Effect.andThen(delayRandomly, offer(head, new Map())),
    });

  const reportFailureAndWait = (diagnostic: Diagnostic): Effect.Effect<void> => {
    post({ kind: EventKind.StoreFailed, diagnostic });
    return Effect.sleep(MIN_RETRY_DELAY_MS * (1 + context.nextRandom()));
  };

  const readOnce = Effect.gen(function* readHead() {
    const stored = yield* store.get(HEAD_KEY);
    if (stored !== null) {
      yield* offerStored(stored);
    }
    return stored?.version ?? 0;
  });

  const watchOnce = Effect.gen(function* readAndWatch() {
    const version = yield* readOnce;
    yield* store.watch(HEAD_KEY, version + 1, (stored) => {
      Effect.runFork(offerStored(stored));
    });
  });

  const pollOnce = Effect.gen(function* waitAndRead() {
    const intervalMs = POLL_INTERVAL_MS + context.countMembers() * POLL_INTERVAL_PER_MEMBER_MS;
    yield* Effect.sleep(intervalMs * (0.5 + context.nextRandom()));
    yield* readOnce;
  });

  const run = Effect.gen(function* followStore() {
    yield* Effect.forkChild(Effect.forever(Effect.catch(pollOnce, reportFailureAndWait)));
    return yield* Effect.forever(Effect.catch(watchOnce, reportFailureAndWait));
  });

  return {
    run,
    getCurrent: () => current,
    offer,
  };
}

/** Returns the section texts of a revision by their content hashes. */
export function getTextsByHash({ head, texts }: RevisionWithTexts): TextsByHash {
  return new Map(ALL_SECTIONS.map((section) => [head.sections[section], texts[section]]));
}
