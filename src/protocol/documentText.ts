/**
 * The operators' document as text: YAML in and out, section texts and their hashes, and the head.
 */
import { createHash, randomBytes } from 'node:crypto';
import { createTwoFilesPatch } from 'diff';
import { Schema } from 'effect';
import { Either, Left, Right } from 'purify-ts';
import { Document as YamlDocument, parseDocument as parseYamlDocument, stringify } from 'yaml';
import {
  createDiagnostic,
  createDiagnosticAt,
  type Diagnostic,
  Diagnostics,
} from '../state/diagnostics.js';
import { parseDocument } from '../state/document.js';
import { ALL_SECTIONS, type Document, type Head, type Section } from '../state/types.js';
import { decodeJson } from './json.js';

/** The largest value that the store takes. */
export const MAX_SECTION_BYTES = 1_000_000;
const KEY_BYTES = 24;
/** Marks issued keys, so that leaked ones can be found by scanners. */
const KEY_PREFIX = 'gd-';

/** The text of each section. */
export type SectionTexts = Readonly<Record<Section, string>>;

/** Returns the hex SHA-256 of a text, under which keys, tokens and sections are known. */
export function hashSha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Creates a new key for a caller or an operator. */
export function createKey(): string {
  return KEY_PREFIX + randomBytes(KEY_BYTES).toString('base64url');
}

/** Parses YAML. Left lists every syntax error with its line and column. */
export function parseYaml(text: string): Either<Diagnostic[], unknown> {
  const parsed = parseYamlDocument(text);
  if (parsed.errors.length === 0) {
    return Right(parsed.toJS() as unknown);
  }
  return Left(
    parsed.errors.map((error) => {
      const { col = 0, line = 0 } = error.linePos?.[0] ?? {};
      const [summary = error.message] = error.message.split('\n');
      return createDiagnostic(Diagnostics.InvalidYaml, line, col, summary);
    }),
  );
}

/** Writes a value as YAML. */
export function formatYaml(value: unknown): string {
  return stringify(value, { lineWidth: 100 });
}

/** Splits a document, given as one text, into its sections; comments stay with their section. */
export function splitDocument(text: string): Either<Diagnostic[], Partial<SectionTexts>> {
  return parseYaml(text).map(() => {
    const parsed = parseYamlDocument(text);
    const parts = ALL_SECTIONS.filter((section) => parsed.has(section)).map((section) => [
      section,
      new YamlDocument(parsed.get(section, true)).toString(),
    ]);
    return Object.fromEntries(parts) as Partial<SectionTexts>;
  });
}

/** Parses and checks a whole document, given as one text. */
export function parseDocumentText(text: string): Either<Diagnostic[], Document> {
  return parseYaml(text).chain(parseDocument);
}

/** Splits a document into the text of each section. */
export function formatSections(document: Document): SectionTexts {
  return {
    operators: formatYaml(document.operators),
    vms: formatYaml(document.vms),
    models: formatYaml(document.models),
    workspaces: formatYaml(document.workspaces),
  };
}

function checkSize(section: Section, text: string): Diagnostic[] {
  const sizeBytes = Buffer.byteLength(text);
  return sizeBytes <= MAX_SECTION_BYTES
    ? []
    : [createDiagnosticAt(section, Diagnostics.DocumentTooLarge, sizeBytes, MAX_SECTION_BYTES)];
}

type ParsedYaml = Either<Diagnostic[], unknown>;
type ParseSection = (section: Section, text: string) => ParsedYaml;

function combineSections(texts: SectionTexts, parse: ParseSection): Either<Diagnostic[], Document> {
  const parts = ALL_SECTIONS.map((section) => ({
    section,
    parsed: parse(section, texts[section]),
  }));
  const errors = [
    ...parts.flatMap(({ parsed, section }) =>
      parsed
        .swap()
        .orDefault([])
        .map((error) => ({ ...error, path: section })),
    ),
    ...ALL_SECTIONS.flatMap((section) => checkSize(section, texts[section])),
  ];
  if (errors.length > 0) {
    return Left(errors);
  }
  const value = Object.fromEntries(
    parts.map(({ parsed, section }) => [section, parsed.orDefault(null)]),
  );
  return parseDocument(value);
}

/** Puts the sections together and checks the whole. */
export function parseSections(texts: SectionTexts): Either<Diagnostic[], Document> {
  return combineSections(texts, (_section, text) => parseYaml(text));
}

/** Creates a parser that reads again only the sections whose text has changed since its last call. */
export function createSectionParser(): (texts: SectionTexts) => Either<Diagnostic[], Document> {
  const last = new Map<Section, { readonly text: string; readonly parsed: ParsedYaml }>();
  const parse: ParseSection = (section, text) => {
    const known = last.get(section);
    if (known?.text === text) {
      return known.parsed;
    }
    const parsed = parseYaml(text);
    last.set(section, { text, parsed });
    return parsed;
  };
  return (texts) => combineSections(texts, parse);
}

/** Returns the content hash of each section. */
export function hashSections(texts: SectionTexts): Head['sections'] {
  return {
    operators: hashSha256(texts.operators),
    vms: hashSha256(texts.vms),
    models: hashSha256(texts.models),
    workspaces: hashSha256(texts.workspaces),
  };
}

const EditSchema = Schema.Struct({
  revision: Schema.Number,
  editId: Schema.String,
  team: Schema.String,
  sections: Schema.Array(Schema.Literals(ALL_SECTIONS)),
  note: Schema.String,
});

const HeadSchema = Schema.Struct({
  revision: Schema.Number,
  sections: Schema.Struct({
    operators: Schema.String,
    vms: Schema.String,
    models: Schema.String,
    workspaces: Schema.String,
  }),
  recentEdits: Schema.Array(EditSchema),
});

/** Reads the head from the store or a peer. */
export function decodeHead(text: string): Either<Diagnostic, Head> {
  return decodeJson(HeadSchema, text);
}

/** Writes the head. */
export function encodeHead(head: Head): string {
  return JSON.stringify(head);
}

/** Compares two texts and returns a unified difference; empty if they are equal. */
export function formatDiff(name: string, before: string, after: string): string {
  return before === after
    ? ''
    : createTwoFilesPatch(name, name, before, after, 'in force', 'edited');
}
