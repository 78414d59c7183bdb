/**
 * Applies edits to the operators' configuration document. The sections are stored under their content
 * hashes; a single compare-and-swap of the head then makes them current together.
 *
 * If the response to that swap is lost, the head is read again and searched for the id of the edit
 * before the edit is retried or its result is reported.
 */
import { Effect } from 'effect';
import {
  decodeHead,
  encodeHead,
  hashSections,
  parseSections,
  type SectionTexts,
} from '../protocol/documentText.js';
import {
  createDiagnostic,
  createDiagnosticAt,
  type Diagnostic,
  Diagnostics,
  hasDiagnosticCode,
} from '../state/diagnostics.js';
import { ALL_SECTIONS, type Edit, type Head, type Section } from '../state/types.js';
import {
  BLOB_PREFIX,
  type ConfigurationSource,
  getTextsByHash,
  HEAD_KEY,
  type RevisionWithTexts,
} from './configurationSource.js';
import type { EtcdStore } from './etcdStore.js';

const MAX_RECENT_EDITS = 50;
const MAX_RETRIES = 8;
const RETRY_DELAY_MS = 50;

/** A new text for one section and the hash of the text that it replaces. */
export interface SectionEdit {
  readonly text: string;
  /** Null for the first document. */
  readonly baseHash: string | null;
}

export interface EditRequest {
  readonly editId: string;
  readonly team: string;
  readonly note: string;
  readonly sections: Readonly<Partial<Record<Section, SectionEdit>>>;
}

/** Applies edits. The effect of a rejected edit fails with all errors found. */
export interface Editor {
  readonly apply: (request: EditRequest) => Effect.Effect<Head, readonly Diagnostic[]>;
}

interface EditBase {
  readonly revision: RevisionWithTexts | null;
  /** The version of the head's key in the store; zero if the key does not exist. */
  readonly version: number;
}

const EMPTY_TEXTS: SectionTexts = { operators: '', vms: '', models: '', workspaces: '' };

function getEditedSections(request: EditRequest): Section[] {
  return ALL_SECTIONS.filter((section) => request.sections[section] !== undefined);
}

function findConflicts(request: EditRequest, base: RevisionWithTexts | null): Diagnostic[] {
  return getEditedSections(request).flatMap((section) => {
    const editedHash = request.sections[section]!.baseHash;
    const currentHash = base?.head.sections[section] ?? null;
    return editedHash === currentHash
      ? []
      : [
          createDiagnosticAt(
            section,
            Diagnostics.RevisionConflict,
            currentHash ?? 'none',
            editedHash ?? 'none',
          ),
        ];
  });
}

function mergeTexts(request: EditRequest, base: RevisionWithTexts | null): SectionTexts {
  const edited = getEditedSections(request).map((section) => [
    section,
    request.sections[section]!.text,
  ]);
  return { ...(base?.texts ?? EMPTY_TEXTS), ...Object.fromEntries(edited) } as SectionTexts;
}

function createHead(
  request: EditRequest,
  base: RevisionWithTexts | null,
  texts: SectionTexts,
): Head {
  const revision = (base?.head.revision ?? 0) + 1;
  const { editId, note, team } = request;
  const edit: Edit = { revision, editId, team, sections: getEditedSections(request), note };
  return {
    revision,
    sections: hashSections(texts),
    recentEdits: [edit, ...(base?.head.recentEdits ?? [])].slice(0, MAX_RECENT_EDITS),
  };
}

function hasEdit(head: Head | undefined, editId: string): boolean {
  return head?.recentEdits.some((edit) => edit.editId === editId) ?? false;
}

/** Creates the editor of this VM. */
export function createEditor(store: EtcdStore, source: ConfigurationSource): Editor {
  /** Reads the revision to edit: that of the head in the store, or a later one known to this VM. */
  const readBase: Effect.Effect<EditBase, Diagnostic> = Effect.gen(function* read() {
    const stored = yield* store.get(HEAD_KEY);
    if (stored !== null) {
      const decoded = decodeHead(stored.value);
      if (decoded.isRight()) {
        yield* source.offer(decoded.extract(), new Map());
      }
    }
    return { revision: source.getCurrent(), version: stored?.version ?? 0 };
  });

  const writeSections = (revision: RevisionWithTexts): Effect.Effect<void, Diagnostic> =>
    Effect.forEach(
      getTextsByHash(revision),
      ([hash, text]) =>
        store.compareAndSwap({
          key: BLOB_PREFIX + hash,
          expectedVersion: 0,
          value: text,
          leaseId: null,
        }),
      { discard: true },
    );

  /** Returns the new head if the swap succeeded; null if the edit must be retried. */
  const swapHead = (
    revision: RevisionWithTexts,
    version: number,
  ): Effect.Effect<Head | null, Diagnostic> =>
    store
      .compareAndSwap({
        key: HEAD_KEY,
        expectedVersion: version,
        value: encodeHead(revision.head),
        leaseId: null,
      })
      .pipe(
        Effect.map((newVersion) => (newVersion === null ? null : revision.head)),
        Effect.catch((diagnostic) =>
          hasDiagnosticCode(diagnostic, Diagnostics.StoreUnknown)
            ? Effect.succeed(null)
            : Effect.fail(diagnostic),
        ),
      );

  const prepareEdit = (
    request: EditRequest,
    base: RevisionWithTexts | null,
  ): Effect.Effect<RevisionWithTexts, readonly Diagnostic[]> => {
    const conflicts = findConflicts(request, base);
    if (conflicts.length > 0) {
      return Effect.fail(conflicts);
    }
    const texts = mergeTexts(request, base);
    return parseSections(texts).caseOf<Effect.Effect<RevisionWithTexts, readonly Diagnostic[]>>({
      Left: (errors) => Effect.fail(errors),
      Right: () => Effect.succeed({ head: createHead(request, base, texts), texts }),
    });
  };

  const toErrors = (diagnostic: Diagnostic): readonly Diagnostic[] => [diagnostic];

  const tryOnce = (request: EditRequest): Effect.Effect<Head | null, readonly Diagnostic[]> =>
    Effect.gen(function* tryEdit() {
      const base = yield* Effect.mapError(readBase, toErrors);
      const current = base.revision?.head;
      if (current !== undefined && hasEdit(current, request.editId)) {
        return current;
      }
      const preparedRevision = yield* prepareEdit(request, base.revision);
      yield* Effect.mapError(writeSections(preparedRevision), toErrors);
      const head = yield* Effect.mapError(swapHead(preparedRevision, base.version), toErrors);
      if (head !== null) {
        yield* source.offer(head, getTextsByHash(preparedRevision));
      }
      return head;
    });

  const apply = (
    request: EditRequest,
    retriesLeft: number,
    mayHaveTakenEffect: boolean,
  ): Effect.Effect<Head, readonly Diagnostic[]> =>
    Effect.flatMap(tryOnce(request), (head) => {
      if (head !== null) {
        return Effect.succeed(head);
      }
      return retriesLeft === 0
        ? Effect.fail([createDiagnostic(Diagnostics.StoreUnknown)])
        : Effect.andThen(Effect.sleep(RETRY_DELAY_MS), apply(request, retriesLeft - 1, true));
    }).pipe(
      Effect.mapError((errors) =>
        mayHaveTakenEffect &&
        errors.some((error) => hasDiagnosticCode(error, Diagnostics.StoreUnavailable))
          ? [createDiagnostic(Diagnostics.StoreUnknown)]
          : errors,
      ),
    );

  return { apply: (request) => apply(request, MAX_RETRIES, false) };
}
