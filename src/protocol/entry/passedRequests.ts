/**
 * Encodes what VMs tell each other of passed requests, as the values of headers of the product's own. They are removed from what
 * callers and backend servers send, so that only VMs can set them.
 */
import { Schema } from 'effect';
import type { Either } from 'purify-ts';
import type {
  AnswerSource,
  PassedEnd,
  PassedRequest,
} from '../../coordination/entry/passedRequest.js';
import type { Diagnostic } from '../../state/diagnostics.js';
import { RunStatus } from '../../state/types.js';
import { AmountSchema, DurationMsSchema, IdSchema, WallTimeMsSchema } from '../fieldSchemas.js';
import { decodeJson } from '../json.js';

/** The headers of passed requests and of their answers, in lower case. */
export const PassHeader = {
  /** On a request: that it is passed, and how. */
  Request: 'gentiandeck-pass',
  /** On an answer: the server that gave it. */
  Source: 'gentiandeck-source',
  /** On a VM's own answer: why no server has answered. */
  End: 'gentiandeck-end',
} as const;
export type PassHeader = (typeof PassHeader)[keyof typeof PassHeader];

const HTTP_NOT_FOUND = 404;
const PASS_HEADERS: ReadonlySet<string> = new Set(Object.values(PassHeader));

const PassedRequestSchema = Schema.Struct({
  vmId: IdSchema,
  incarnation: Schema.String,
  configurationVersion: AmountSchema,
  service: Schema.String,
  workspace: Schema.NullOr(Schema.String),
  streamVersion: Schema.NullOr(Schema.String),
  possiblyRunIds: Schema.Array(Schema.String),
  notRunIds: Schema.Array(Schema.String),
  isConsecutive: Schema.optionalKey(Schema.NullOr(Schema.Boolean)),
});

const AnswerSourceSchema = Schema.Struct({
  backendId: IdSchema,
  bornAtWallMs: WallTimeMsSchema,
  softwareVersion: Schema.String,
});

const PassedEndSchema = Schema.Struct({
  run: Schema.Literals([RunStatus.NotRun, RunStatus.Unknown]),
  code: AmountSchema,
  message: Schema.String,
  retryAfterMs: Schema.NullOr(DurationMsSchema),
});

/** A header holds neither line ends nor letters beyond ASCII, which names in the values may have. */
function encodeValue(value: PassedRequest | AnswerSource | PassedEnd): string {
  return Buffer.from(JSON.stringify(value)).toString('base64url');
}

function decodeText(text: string): string {
  return Buffer.from(text, 'base64url').toString();
}

/** Encodes the header of a request that is passed to another VM. */
export function encodePassedRequest(pass: PassedRequest): string[] {
  return [PassHeader.Request, encodeValue(pass)];
}

/** Decodes the header of a passed request. Left is `MalformedBody`. */
export function decodePassedRequest(text: string): Either<Diagnostic, PassedRequest> {
  return decodeJson(PassedRequestSchema, decodeText(text));
}

/** Encodes the header of an answer that is passed back. */
export function encodeAnswerSource(source: AnswerSource): string[] {
  return [PassHeader.Source, encodeValue(source)];
}

/** Decodes the source of an answer that is passed back. Left is `MalformedBody`. */
function decodeAnswerSource(text: string): Either<Diagnostic, AnswerSource> {
  return decodeJson(AnswerSourceSchema, decodeText(text));
}

/** Encodes the header of an answer that reports that no server has answered. */
export function encodePassedEnd(end: PassedEnd): string[] {
  return [PassHeader.End, encodeValue(end)];
}

/** Decodes why no server has answered. Left is `MalformedBody`. */
function decodePassedEnd(text: string): Either<Diagnostic, PassedEnd> {
  return decodeJson(PassedEndSchema, decodeText(text));
}

/** Returns headers, names and values in alternation, without those that only VMs may set. */
export function removePassHeaders(rawHeaders: readonly string[]): string[] {
  return rawHeaders.filter(
    (_text, index) => !PASS_HEADERS.has(rawHeaders[index - (index % 2)]!.toLowerCase()),
  );
}

/** Header values by name in lower case, as Node.js parses them. */
type ParsedHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

function readHeader<T>(
  headers: ParsedHeaders,
  name: PassHeader,
  decode: (text: string) => Either<Diagnostic, T>,
): T | null {
  const text = headers[name];
  return typeof text === 'string' ? decode(text).toMaybe().extractNullable() : null;
}

/** Returns the server whose answer another VM passes back; null if the answer names none. */
export function readAnswerSource(headers: ParsedHeaders): AnswerSource | null {
  return readHeader(headers, PassHeader.Source, decodeAnswerSource);
}

/** Returns why no server has answered; null if the answer does not say that. */
export function readPassedEnd(headers: ParsedHeaders): PassedEnd | null {
  return readHeader(headers, PassHeader.End, decodePassedEnd);
}

/**
 * Returns whether a VM of an earlier version has answered, which takes no passed requests: its service for peers does not know their
 * paths, and its answer has none of the headers.
 */
export function isPassingUnsupported(status: number, headers: ParsedHeaders): boolean {
  return status === HTTP_NOT_FOUND && Object.keys(headers).every((name) => !PASS_HEADERS.has(name));
}

/** Returns whether a request says that another VM passes it. Callers reach only addresses on which this is not asked. */
export function isPassedRequest(headers: ParsedHeaders): boolean {
  return headers[PassHeader.Request] !== undefined;
}
