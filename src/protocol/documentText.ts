/**
 * Parses and formats the operators' configuration document as YAML text, splits it into sections, hashes them, and
 * encodes the head.
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

/** Maximum size of a value in the store. */
export const MAX_SECTION_BYTES = 1_000_000;
const KEY_BYTES = 24;
/** Prefix of issued keys, by which secret scanners can find leaked keys. */
const KEY_PREFIX = 'gd-';

/** The text of each section. */
export type SectionTexts = Readonly<Record<Section, string>>;

/** Computes the hex SHA-256 of a text, which identifies keys, tokens and sections. */
export function hashSha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Generates a random key for a caller or an operator. */
export function createKey(): string {
  return KEY_PREFIX + randomBytes(KEY_BYTES).toString('base64url');
}

/** Parses YAML. Left lists all syntax errors with their line and column. */
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

/** Formats a value as YAML. */
export function formatYaml(value: unknown): string {
  return stringify(value, { lineWidth: 100 });
}

/** Splits the text of a whole document into its sections; comments stay in their section. */
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

/** Parses and validates the text of a whole document. */
export function parseDocumentText(text: string): Either<Diagnostic[], Document> {
  return parseYaml(text).chain(parseDocument);
}

/** Formats each section of a document as text. */
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

/** Combines the sections into a document; Left lists the errors of all sections. */
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

/** Combines the sections into a document and validates it. */
export function parseSections(texts: SectionTexts): Either<Diagnostic[], Document> {
  return combineSections(texts, (_section, text) => parseYaml(text));
}

/** Creates a parser that caches each section and parses only those whose text changed since the last call. */
export function createSectionParser(): (texts: SectionTexts) => Either<Diagnostic[], Document> {
  const lastParsed = new Map<Section, { readonly text: string; readonly parsed: ParsedYaml }>();
  const parse: ParseSection = (section, text) => {
    const cached = lastParsed.get(section);
    if (cached?.text === text) {
      return cached.parsed;
    }
    const parsed = parseYaml(text);
    lastParsed.set(section, { text, parsed });
    return parsed;
  };
  return (texts) => combineSections(texts, parse);
}

/** Computes the content hash of each section. */
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

/** Decodes a head from the store or a peer. */
export function decodeHead(text: string): Either<Diagnostic, Head> {
  return decodeJson(HeadSchema, text);
}

/** Encodes a head. */
export function encodeHead(head: Head): string {
  return JSON.stringify(head);
}

/** Formats the difference of two texts as a unified diff; empty if they are equal. */
export function formatDiff(name: string, before: string, after: string): string {
  return before === after
    ? ''
    : createTwoFilesPatch(name, name, before, after, 'current', 'edited');
}
