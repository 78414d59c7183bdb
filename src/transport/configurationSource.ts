/**
 * Where this VM gets its configuration from: the store's head, watched and read again from time to
 * time, and peers that have a later revision. Sections are fetched by content hash and kept.
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
import type { Store } from './store.js';

export const HEAD_KEY = 'head';
export const BLOB_PREFIX = 'blobs/';

const RETRY_MS = 500;
/** A watch can die without a sign; the head is read again this often at the latest. */
const REREAD_MS = 1_500;
/** The reads of a large fleet are spread over a longer time. */
const REREAD_PER_MEMBER_MS = 10;

/** A revision with the text of its sections. */
export interface TextRevision {
  readonly head: Head;
  readonly texts: SectionTexts;
}

/** Section texts by content hash, as a peer sends them. */
export type BlobMap = ReadonlyMap<string, string>;

/** The source, as the daemon holds it. */
export interface ConfigurationSource {
  /** Follows the store until interrupted. */
  readonly run: Effect.Effect<never>;
  /** The latest revision that was read whole. */
  readonly getCurrent: () => TextRevision | null;
  /** Takes a revision that came with its sections, from a peer or an own edit. */
  readonly offer: (head: Head, blobs: BlobMap) => Effect.Effect<void>;
}

/** What the source works with. */
export interface SourceContext {
  readonly store: Store;
  readonly post: (event: VmEvent) => void;
  /** In [0, 1); spreads the reads of many VMs. */
  readonly nextRandom: () => number;
  /** How many other VMs are known, for spreading reads. */
  readonly countMembers: () => number;
}

const SPREAD_PER_MEMBER_MS = 2;
const MAX_SPREAD_MS = 1_000;

/** Creates the source. */
export function createConfigurationSource(context: SourceContext): ConfigurationSource {
  const { post, store } = context;
  const parse = createSectionParser();
  let current: TextRevision | null = null;

  const reject = (revision: number, diagnostic: Diagnostic): void => {
    post({ kind: EventKind.ConfigurationRejected, revision, diagnostic });
  };

  const findKnownText = (section: Section, hash: string, blobs: BlobMap): string | undefined => {
    if (current?.head.sections[section] === hash) {
      return current.texts[section];
    }
    const text = blobs.get(hash);
    return text !== undefined && hashSha256(text) === hash ? text : undefined;
  };

  const loadText = (
    section: Section,
    hash: string,
    blobs: BlobMap,
  ): Effect.Effect<string, Diagnostic> => {
    const known = findKnownText(section, hash, blobs);
    if (known !== undefined) {
      return Effect.succeed(known);
    }
    return Effect.flatMap(store.get(BLOB_PREFIX + hash), (stored) =>
      stored !== null && hashSha256(stored.value) === hash
        ? Effect.succeed(stored.value)
        : Effect.fail(createDiagnostic(Diagnostics.MissingBlob, section, hash)),
    );
  };

  const loadTexts = (head: Head, blobs: BlobMap): Effect.Effect<SectionTexts, Diagnostic> =>
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

  const offer = (head: Head, blobs: BlobMap): Effect.Effect<void> =>
    Effect.suspend(() => {
      const inForce = current?.head.revision ?? 0;
      if (head.revision < inForce) {
        const diagnostic = createDiagnostic(Diagnostics.StaleHead, head.revision, inForce);
        reject(head.revision, diagnostic);
        return Effect.void;
      }
      if (head.revision === inForce) {
        return Effect.void;
      }
      return Effect.match(loadTexts(head, blobs), {
        onFailure: (diagnostic) => reject(head.revision, diagnostic),
        onSuccess: (texts) => accept(head, texts),
      });
    });

  const spread = Effect.suspend(() => {
    const spanMs = Math.min(MAX_SPREAD_MS, context.countMembers() * SPREAD_PER_MEMBER_MS);
    return Effect.sleep(Math.round(spanMs * context.nextRandom()));
  });

  const offerStored = (stored: StoredValue): Effect.Effect<void> =>
    decodeHead(stored.value).caseOf<Effect.Effect<void>>({
      Left: (diagnostic) => Effect.sync(() => reject(0, diagnostic)),
      Right: (head) => Effect.andThen(spread, offer(head, new Map())),
    });

  const waitAfterFailure = (diagnostic: Diagnostic): Effect.Effect<void> => {
    post({ kind: EventKind.StoreFailed, diagnostic });
    return Effect.sleep(RETRY_MS * (1 + context.nextRandom()));
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
    const periodMs = REREAD_MS + context.countMembers() * REREAD_PER_MEMBER_MS;
    yield* Effect.sleep(periodMs * (0.5 + context.nextRandom()));
    yield* readOnce;
  });

  const run = Effect.gen(function* followStore() {
    yield* Effect.forkChild(Effect.forever(Effect.catch(pollOnce, waitAfterFailure)));
    return yield* Effect.forever(Effect.catch(watchOnce, waitAfterFailure));
  });

  return {
    run,
    getCurrent: () => current,
    offer,
  };
}

/** Returns the sections of a revision by their hashes, for a peer. */
export function getBlobs({ head, texts }: TextRevision): BlobMap {
  return new Map(ALL_SECTIONS.map((section) => [head.sections[section], texts[section]]));
}
