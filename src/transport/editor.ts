/**
 * Edits of the operators' document: sections are written under their content hash, then one
 * compare-and-swap of the head puts them in force together.
 *
 * After a swap whose answer was lost, the head is read again and searched for the edit's own id before
 * anything is tried again or reported.
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
  isDiagnostic,
} from '../state/diagnostics.js';
import { ALL_SECTIONS, type Edit, type Head, type Section } from '../state/types.js';
import {
  BLOB_PREFIX,
  type ConfigurationSource,
  getBlobs,
  HEAD_KEY,
  type TextRevision,
} from './configurationSource.js';
import type { Store } from './store.js';

const MAX_RECENT_EDITS = 50;
const MAX_TRIES = 8;
const RETRY_MS = 50;

/** A new text for one section, against the hash of the text that was edited. */
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

/** Makes edits. Fails with every error of a refused edit. */
export interface Editor {
  readonly apply: (request: EditRequest) => Effect.Effect<Head, readonly Diagnostic[]>;
}

interface Base {
  readonly revision: TextRevision | null;
  /** The version of the head's key in the store. */
  readonly version: number;
}

const EMPTY_TEXTS: SectionTexts = { operators: '', vms: '', models: '', workspaces: '' };

function getEdited(request: EditRequest): Section[] {
  return ALL_SECTIONS.filter((section) => request.sections[section] !== undefined);
}

function findConflicts(request: EditRequest, base: TextRevision | null): Diagnostic[] {
  return getEdited(request).flatMap((section) => {
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

function mergeTexts(request: EditRequest, base: TextRevision | null): SectionTexts {
  const edited = getEdited(request).map((section) => [section, request.sections[section]!.text]);
  return { ...(base?.texts ?? EMPTY_TEXTS), ...Object.fromEntries(edited) } as SectionTexts;
}

function createHead(request: EditRequest, base: TextRevision | null, texts: SectionTexts): Head {
  const revision = (base?.head.revision ?? 0) + 1;
  const { editId, note, team } = request;
  const edit: Edit = { revision, editId, team, sections: getEdited(request), note };
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
export function createEditor(store: Store, source: ConfigurationSource): Editor {
  /** Reads what the edit is made against: the head of the store, or a later one in force here. */
  const readBase: Effect.Effect<Base, Diagnostic> = Effect.gen(function* read() {
    const stored = yield* store.get(HEAD_KEY);
    if (stored !== null) {
      const decoded = decodeHead(stored.value);
      if (decoded.isRight()) {
        yield* source.offer(decoded.extract(), new Map());
      }
    }
    return { revision: source.getCurrent(), version: stored?.version ?? 0 };
  });

  const putBlobs = (revision: TextRevision): Effect.Effect<void, Diagnostic> =>
    Effect.forEach(
      getBlobs(revision),
      ([hash, text]) =>
        store.swap({ key: BLOB_PREFIX + hash, expectedVersion: 0, value: text, leaseId: null }),
      { discard: true },
    );

  /** Ends with the head if the edit took effect, null if it has to be tried again. */
  const swapHead = (
    revision: TextRevision,
    version: number,
  ): Effect.Effect<Head | null, Diagnostic> =>
    store
      .swap({
        key: HEAD_KEY,
        expectedVersion: version,
        value: encodeHead(revision.head),
        leaseId: null,
      })
      .pipe(
        Effect.map((newVersion) => (newVersion === null ? null : revision.head)),
        Effect.catch((diagnostic) =>
          isDiagnostic(diagnostic, Diagnostics.StoreUnknown)
            ? Effect.succeed(null)
            : Effect.fail(diagnostic),
        ),
      );

  const planEdit = (
    request: EditRequest,
    base: TextRevision | null,
  ): Effect.Effect<TextRevision, readonly Diagnostic[]> => {
    const conflicts = findConflicts(request, base);
    if (conflicts.length > 0) {
      return Effect.fail(conflicts);
    }
    const texts = mergeTexts(request, base);
    return parseSections(texts).caseOf<Effect.Effect<TextRevision, readonly Diagnostic[]>>({
      Left: (errors) => Effect.fail(errors),
      Right: () => Effect.succeed({ head: createHead(request, base, texts), texts }),
    });
  };

  const toList = (diagnostic: Diagnostic): readonly Diagnostic[] => [diagnostic];

  const tryOnce = (request: EditRequest): Effect.Effect<Head | null, readonly Diagnostic[]> =>
    Effect.gen(function* tryEdit() {
      const base = yield* Effect.mapError(readBase, toList);
      const current = base.revision?.head;
      if (current !== undefined && hasEdit(current, request.editId)) {
        return current;
      }
      const planned = yield* planEdit(request, base.revision);
      yield* Effect.mapError(putBlobs(planned), toList);
      const head = yield* Effect.mapError(swapHead(planned, base.version), toList);
      if (head !== null) {
        yield* source.offer(head, getBlobs(planned));
      }
      return head;
    });

  const apply = (
    request: EditRequest,
    triesLeft: number,
    mayHaveRun: boolean,
  ): Effect.Effect<Head, readonly Diagnostic[]> =>
    Effect.flatMap(tryOnce(request), (head) => {
      if (head !== null) {
        return Effect.succeed(head);
      }
      return triesLeft === 0
        ? Effect.fail([createDiagnostic(Diagnostics.StoreUnknown)])
        : Effect.andThen(Effect.sleep(RETRY_MS), apply(request, triesLeft - 1, true));
    }).pipe(
      Effect.mapError((errors) =>
        mayHaveRun && errors.some((error) => isDiagnostic(error, Diagnostics.StoreUnavailable))
          ? [createDiagnostic(Diagnostics.StoreUnknown)]
          : errors,
      ),
    );

  return { apply: (request) => apply(request, MAX_TRIES, false) };
}
