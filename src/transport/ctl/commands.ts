/**
 * What the command-line tool does, one function for each command.
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
import type { AdminClient, CtlFailure } from './adminClient.js';

/** Stands for all sections in one file, in place of the name of one. */
export const WHOLE_DOCUMENT = 'document';
const POLL_MS = 200;

/** What commands work with. */
export interface CtlContext {
  readonly client: AdminClient;
  readonly print: (text: string) => void;
}

type CtlEffect<T = void> = Effect.Effect<T, CtlFailure>;
type SectionTexts = Partial<Record<Section, string>>;

function readText(file: string): CtlEffect<string> {
  return Effect.try({
    try: () => readFileSync(file, 'utf8'),
    catch: () => [
      createDiagnostic(Diagnostics.InvalidSetting, 'file', file, 'a file that can be read'),
    ],
  });
}

/** Reads the texts of one section, or of all sections in one file. */
function readSections(name: string, file: string): CtlEffect<SectionTexts> {
  return Effect.flatMap(readText(file), (text) => {
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

function createMessage(texts: SectionTexts, current: DocumentView | null, note: string) {
  const sections = Object.fromEntries(
    ALL_SECTIONS.flatMap((section) => {
      const text = texts[section];
      const baseHash = current?.sections[section].hash ?? null;
      return text === undefined ? [] : [[section, { text, baseHash }]];
    }),
  );
  return { editId: randomUUID(), note, sections };
}

/** Reads the document in force; null before there is a first one. */
function findDocument(client: AdminClient): CtlEffect<DocumentView | null> {
  return Effect.catch(client.getDocument, (errors) =>
    errors.some((error) => error.code === Diagnostics.NotConfigured.code)
      ? Effect.succeed(null)
      : Effect.fail(errors),
  );
}

/** Checks a whole document without a daemon. */
export function checkFile({ print }: Pick<CtlContext, 'print'>, file: string): CtlEffect {
  return Effect.flatMap(readText(file), (text) =>
    parseDocumentText(text).caseOf<CtlEffect>({
      Left: (errors) => Effect.fail(errors),
      Right: () => Effect.sync(() => print('The document is valid.')),
    }),
  );
}

/** Checks sections together with what is in force. */
export function validate({ client, print }: CtlContext, name: string, file: string): CtlEffect {
  return Effect.gen(function* run() {
    const texts = yield* readSections(name, file);
    yield* client.validate(createMessage(texts, null, ''));
    print('The edit is valid.');
  });
}

/** Shows how sections differ from what is in force. */
export function diff({ client, print }: CtlContext, name: string, file: string): CtlEffect {
  return Effect.gen(function* run() {
    const texts = yield* readSections(name, file);
    const current = yield* findDocument(client);
    const diffs = ALL_SECTIONS.flatMap((section) => {
      const text = texts[section];
      return text === undefined
        ? []
        : [formatDiff(section, current?.sections[section].text ?? '', text)];
    });
    const text = diffs.filter((part) => part !== '').join('\n');
    print(text === '' ? 'No difference.' : text);
  });
}

function describeVm(vm: VmView): string {
  const state = vm.isLive ? 'live' : `silent for ${Math.round(vm.heardAgoMs)} ms`;
  const leaving = vm.leaving ? ', leaving' : '';
  return `${vm.failureDomain}  ${vm.vmId}  revision ${vm.revision}  ${state}${leaving}`;
}

/** Waits until every live VM has a revision in force, and says which have not. */
export function waitInForce(
  { client, print }: CtlContext,
  revision: number,
  waitMs: number,
): CtlEffect {
  const poll = (leftMs: number): CtlEffect =>
    Effect.flatMap(client.getVms, (vms) => {
      const open = vms.filter((vm) => vm.revision < revision);
      const liveOpen = open.filter((vm) => vm.isLive);
      if (liveOpen.length > 0 && leftMs > 0) {
        return Effect.andThen(Effect.sleep(POLL_MS), poll(leftMs - POLL_MS));
      }
      const confirmed = vms.length - open.length;
      print(`Revision ${revision} is in force on ${confirmed} of ${vms.length} VMs.`);
      open.forEach((vm) => print(`not confirmed: ${describeVm(vm)}`));
      return liveOpen.length === 0
        ? Effect.void
        : Effect.fail([createDiagnostic(Diagnostics.NotInForce, revision, liveOpen.length)]);
    });
  return poll(waitMs);
}

/** Applies an edit and waits until it is in force. */
export function apply(
  context: CtlContext,
  name: string,
  file: string,
  options: { readonly note: string; readonly waitMs: number },
): CtlEffect {
  const { client, print } = context;
  return Effect.gen(function* run() {
    const texts = yield* readSections(name, file);
    const current = yield* findDocument(client);
    const revision = yield* client.edit(createMessage(texts, current, options.note));
    print(`Accepted as revision ${revision}.`);
    yield* waitInForce(context, revision, options.waitMs);
  });
}

/** Prints the text of a section, or of all. */
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

/** Issues a key and prints it. It is shown only here. */
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
    yield* waitInForce(context, revision, waitMs);
  });
}

/** Withdraws a key and waits until it is refused everywhere. */
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
    yield* waitInForce(context, revision, waitMs);
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

/** Prints each VM with the revision that it has in force. */
export function showVms({ client, print }: CtlContext): CtlEffect {
  return Effect.map(client.getVms, (vms) => {
    vms
      .toSorted((a, b) => a.failureDomain.localeCompare(b.failureDomain))
      .forEach((vm) => print(describeVm(vm)));
  });
}

/** Prints the report on service-level burn, for people or as JSON. */
export function reportBurn({ client, print }: CtlContext, isJson: boolean): CtlEffect {
  return Effect.map(client.getBurn, (report) => {
    print(isJson ? JSON.stringify(report, null, 2) : formatBurnReport(report));
  });
}

/** Prints the backend servers as JSON. */
export function showServers({ client, print }: CtlContext): CtlEffect {
  return Effect.map(client.getText(ADMIN_PATHS.Servers), (text) => {
    print(JSON.stringify(JSON.parse(text), null, 2));
  });
}
