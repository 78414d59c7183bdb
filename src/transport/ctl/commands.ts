/**
 * Implements the commands of the command-line tool, one function per command.
 */
import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { Effect } from 'effect';
import type { VmView } from '../../coordination/fleetView.js';
import { ADMIN_PATHS, type DocumentView } from '../../protocol/adminMessages.js';
import { formatBurnReport } from '../../protocol/burnMessages.js';
import { formatDiff, parseDocumentText, splitDocument } from '../../protocol/documentText.js';
import { createDiagnostic, Diagnostics } from '../../state/diagnostics.js';
import { isSection } from '../../state/document.js';
import { ALL_SECTIONS, type Section } from '../../state/types.js';
import type { AdminClient, CtlErrors } from './adminClient.js';

/** Used in place of a section name for a file that contains all sections. */
export const WHOLE_DOCUMENT = 'document';
const POLL_INTERVAL_MS = 200;

/** The dependencies of the commands. */
export interface CtlContext {
  readonly client: AdminClient;
  readonly print: (text: string) => void;
}

type CtlEffect<T = void> = Effect.Effect<T, CtlErrors>;
type SectionTexts = Partial<Record<Section, string>>;

function readTextFile(file: string): CtlEffect<string> {
  return Effect.try({
    try: () => readFileSync(file, 'utf8'),
    catch: () => [createDiagnostic(Diagnostics.InvalidSetting, 'file', file, 'a readable file')],
  });
}

/** Reads the text of one section, or the texts of all sections, from a file. */
function readSections(name: string, file: string): CtlEffect<SectionTexts> {
  return Effect.flatMap(readTextFile(file), (text) => {
    if (name === WHOLE_DOCUMENT) {
      return splitDocument(text).caseOf<CtlEffect<SectionTexts>>({
        Left: (errors) => Effect.fail(errors),
        Right: (texts) => Effect.succeed(texts),
      });
    }
    return isSection(name)
      ? Effect.succeed({ [name]: text })
      : Effect.fail([createDiagnostic(Diagnostics.UnknownSection, name)]);
  });
}

function createEditMessage(texts: SectionTexts, current: DocumentView | null, note: string) {
  const sections = Object.fromEntries(
    ALL_SECTIONS.flatMap((section) => {
      const text = texts[section];
      const baseHash = current?.sections[section].hash ?? null;
      return text === undefined ? [] : [[section, { text, baseHash }]];
    }),
  );
  return { editId: randomUUID(), note, sections };
}

/** Fetches the current document; null if none has been configured yet. */
function fetchDocument(client: AdminClient): CtlEffect<DocumentView | null> {
  return Effect.catch(client.getDocument, (errors) =>
    errors.some((error) => error.code === Diagnostics.NotConfigured.code)
      ? Effect.succeed(null)
      : Effect.fail(errors),
  );
}

/** Validates a file with a whole document without calling a daemon. */
export function checkFile({ print }: Pick<CtlContext, 'print'>, file: string): CtlEffect {
  return Effect.flatMap(readTextFile(file), (text) =>
    parseDocumentText(text).caseOf<CtlEffect>({
      Left: (errors) => Effect.fail(errors),
      Right: () => Effect.sync(() => print('The document is valid.')),
    }),
  );
}

/** Validates sections together with the other sections of the current document. */
export function validate({ client, print }: CtlContext, name: string, file: string): CtlEffect {
  return Effect.gen(function* run() {
    const texts = yield* readSections(name, file);
    yield* client.validate(createEditMessage(texts, null, ''));
    print('The edit is valid.');
  });
}

/** Prints the differences between sections and the current document. */
export function diff({ client, print }: CtlContext, name: string, file: string): CtlEffect {
  return Effect.gen(function* run() {
    const texts = yield* readSections(name, file);
    const current = yield* fetchDocument(client);
    const diffs = ALL_SECTIONS.flatMap((section) => {
      const text = texts[section];
      return text === undefined
        ? []
        : [formatDiff(section, current?.sections[section].text ?? '', text)];
    });
    const text = diffs.filter((sectionDiff) => sectionDiff !== '').join('\n');
    print(text === '' ? 'There are no differences.' : text);
  });
}

function formatVm(vm: VmView): string {
  const state = vm.isLive ? 'live' : `no heartbeat for ${Math.round(vm.heardAgoMs)} ms`;
  const leaving = vm.leaving ? ', leaving' : '';
  return `${vm.failureDomain}  ${vm.vmId}  revision ${vm.revision}  ${state}${leaving}`;
}

/**
 * Waits up to `waitMs` until every live VM has applied a revision, then prints the VMs that have not.
 * Fails if a live VM is among them.
 */
export function waitUntilApplied(
  { client, print }: CtlContext,
  revision: number,
  waitMs: number,
): CtlEffect {
  const poll = (remainingMs: number): CtlEffect =>
    Effect.flatMap(client.getVms, (vms) => {
      const outdatedVms = vms.filter((vm) => vm.revision < revision);
      const liveOutdatedVms = outdatedVms.filter((vm) => vm.isLive);
      if (liveOutdatedVms.length > 0 && remainingMs > 0) {
        return Effect.andThen(Effect.sleep(POLL_INTERVAL_MS), poll(remainingMs - POLL_INTERVAL_MS));
      }
      const confirmed = vms.length - outdatedVms.length;
      print(`Revision ${revision} is in force on ${confirmed} of ${vms.length} VMs.`);
      outdatedVms.forEach((vm) => print(`not confirmed: ${formatVm(vm)}`));
      return liveOutdatedVms.length === 0
        ? Effect.void
        : Effect.fail([createDiagnostic(Diagnostics.NotInForce, revision, liveOutdatedVms.length)]);
    });
  return poll(waitMs);
}

/** Applies an edit and waits until every live VM has applied its revision. */
export function apply(
  context: CtlContext,
  name: string,
  file: string,
  options: { readonly note: string; readonly waitMs: number },
): CtlEffect {
  const { client, print } = context;
  return Effect.gen(function* run() {
    const texts = yield* readSections(name, file);
    const current = yield* fetchDocument(client);
    const revision = yield* client.edit(createEditMessage(texts, current, options.note));
    print(`Accepted as revision ${revision}.`);
    yield* waitUntilApplied(context, revision, options.waitMs);
  });
}

/** Prints the text of one section or of all sections. */
export function show({ client, print }: CtlContext, name: string): CtlEffect {
  return Effect.gen(function* run() {
    const { sections } = yield* client.getDocument;
    if (name === WHOLE_DOCUMENT) {
      ALL_SECTIONS.forEach((section) => {
        const indented = sections[section].text.trimEnd().replaceAll(/^(?=.)/gm, '  ');
        print(`${section}:\n${indented}`);
      });
      return;
    }
    if (!isSection(name)) {
      yield* Effect.fail([createDiagnostic(Diagnostics.UnknownSection, name)]);
      return;
    }
    print(sections[name].text.trimEnd());
  });
}

/** Issues a key and prints it. The key cannot be retrieved later; only its hash is stored. */
export function issueKey(
  context: CtlContext,
  workspace: string,
  keyId: string,
  waitMs: number,
): CtlEffect {
  const { client, print } = context;
  return Effect.gen(function* run() {
    const message = { editId: randomUUID(), workspace, keyId };
    const { key, revision } = yield* client.issueKey(message);
    print(key);
    yield* waitUntilApplied(context, revision, waitMs);
  });
}

/** Withdraws a key and waits until every live VM rejects it. */
export function withdrawKey(
  context: CtlContext,
  workspace: string,
  keyId: string,
  waitMs: number,
): CtlEffect {
  const { client } = context;
  return Effect.gen(function* run() {
    const message = { editId: randomUUID(), workspace, keyId };
    const revision = yield* client.withdrawKey(message);
    yield* waitUntilApplied(context, revision, waitMs);
  });
}

/** Prints the latest edits. */
export function showHistory({ client, print }: CtlContext): CtlEffect {
  return Effect.map(client.getHistory, (edits) => {
    edits.forEach((edit) => {
      print(`${edit.revision}  ${edit.team}  ${edit.sections.join(',')}  ${edit.note}`);
    });
  });
}

/** Prints each VM with the configuration revision that it has applied. */
export function showVms({ client, print }: CtlContext): CtlEffect {
  return Effect.map(client.getVms, (vms) => {
    vms
      .toSorted((a, b) => a.failureDomain.localeCompare(b.failureDomain))
      .forEach((vm) => print(formatVm(vm)));
  });
}

/** Prints the report on error budget burn rates as text or as JSON. */
export function showBurnReport({ client, print }: CtlContext, isJson: boolean): CtlEffect {
  return Effect.map(client.getBurnReport, (report) => {
    print(isJson ? JSON.stringify(report, null, 2) : formatBurnReport(report));
  });
}

/** Prints the backend servers as JSON. */
export function showServers({ client, print }: CtlContext): CtlEffect {
  return Effect.map(client.getText(ADMIN_PATHS.Servers), (text) => {
    print(JSON.stringify(JSON.parse(text), null, 2));
  });
}
