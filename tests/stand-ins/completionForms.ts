/**
 * What engines may send in the middle of the stream of a completion: sound forms, and those that spoil it.
 */
import { CompletionKind } from '../../src/protocol/openai.js';

/** The stream that an engine is sending. */
export interface CompletionPlace {
  /** Id of the dispatch. */
  readonly id: string;
  readonly kind: CompletionKind;
  /** Index of the token that is due. */
  readonly due: number;
}

/** A form, whose characters are bytes. */
export interface CompletionForm {
  readonly name: string;
  readonly write: (place: CompletionPlace) => string;
}

/** Number of tokens of each completion. */
export const TOKEN_COUNT = 8;

const CHOICES: Readonly<Record<CompletionKind, (text: string) => object>> = {
  [CompletionKind.Text]: (text) => ({ text }),
  [CompletionKind.Chat]: (text) => ({ delta: { content: text } }),
};

/** Returns the text of a token. */
export function getTokenText(index: number): string {
  return ` w${index}`;
}

function encodeData(data: unknown): string {
  return `data: ${JSON.stringify(data)}\n\n`;
}

/** Encodes a chunk with fields of its own. */
export function encodeChunk(
  { due, id, kind }: CompletionPlace,
  fields: Readonly<Record<string, unknown>> = {},
): string {
  const finishReason = due === TOKEN_COUNT - 1 ? 'stop' : null;
  const choice = { index: 0, ...CHOICES[kind](getTokenText(due)), finish_reason: finishReason };
  return encodeData({ id, choices: [choice], token_index: due, ...fields });
}

/** Encodes the tokens from an index on and the mark of the end. */
export function encodeRest(place: CompletionPlace): string {
  const { due } = place;
  const tokens = Array.from({ length: Math.max(0, TOKEN_COUNT - due) }, (_, i) =>
    encodeChunk({ ...place, due: due + i }),
  );
  return `${tokens.join('')}data: [DONE]\n\n`;
}

function writeChoice(place: CompletionPlace, choice: unknown, fields: object = {}): string {
  return encodeChunk(place, { choices: [choice], ...fields });
}

const HTTP_HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 7\r\n\r\n';

/** Forms after which the stream goes on as if they were not there. */
export const SOUND_FORMS: readonly CompletionForm[] = [
  { name: 'nothing', write: () => '' },
  { name: 'a comment', write: () => ': keep open\n\n' },
  { name: 'a comment without a blank line', write: () => ': keep open\n' },
  { name: 'a retry time', write: () => 'retry: 100\n\n' },
  { name: 'a chunk without text', write: (place) => encodeData({ id: place.id, choices: [] }) },
  { name: 'blank lines', write: () => '\n\n\n' },
  { name: 'a comment that ends with CR LF', write: () => ': x\r\n\r\n' },
];

/** Forms that do not belong to the stream. */
export const SPOILED_FORMS: readonly CompletionForm[] = [
  { name: 'data that is no JSON', write: () => 'data: {"id":\n\n' },
  { name: 'empty data', write: () => 'data:\n\n' },
  { name: 'JSON of another shape', write: () => encodeData({ error: { message: 'x' } }) },
  { name: 'a JSON list', write: () => encodeData([1]) },
  {
    name: 'the id of another dispatch',
    write: (place) => encodeChunk({ ...place, id: 'other.1' }),
  },
  { name: 'a chunk without an id', write: (place) => encodeChunk(place, { id: undefined }) },
  { name: 'a skipped index', write: (place) => encodeChunk({ ...place, due: place.due + 1 }) },
  { name: 'an index again', write: (place) => encodeChunk({ ...place, due: place.due - 1 }) },
  { name: 'the first index', write: (place) => encodeChunk({ ...place, due: 0 }) },
  { name: 'an index far ahead', write: (place) => encodeChunk(place, { token_index: 500 }) },
  {
    name: 'an index of 1e400',
    write: (place) => encodeChunk(place).replace(/"token_index":\d+/, '"token_index":1e400'),
  },
  {
    name: 'an index that is text',
    write: (place) => encodeChunk(place, { token_index: String(place.due) }),
  },
  { name: 'an index that is null', write: (place) => encodeChunk(place, { token_index: null }) },
  {
    name: 'text without an index',
    write: (place) => encodeChunk(place, { token_index: undefined }),
  },
  {
    name: 'text without an index in the second choice',
    write: (place) =>
      encodeChunk(place, { choices: [{}, CHOICES[place.kind]('x')], token_index: undefined }),
  },
  {
    name: 'text without an index beside an empty text',
    write: (place) =>
      writeChoice(place, { text: '', delta: { content: 'x' } }, { token_index: undefined }),
  },
  {
    name: 'two texts in a choice',
    write: (place) =>
      writeChoice(place, { text: getTokenText(place.due), delta: { content: 'x' } }),
  },
  { name: 'an index without text', write: (place) => encodeChunk(place, { choices: [] }) },
  { name: 'an index whose choice has no text', write: (place) => writeChoice(place, { index: 0 }) },
  {
    name: 'two choices',
    write: (place) => {
      const choice = CHOICES[place.kind](getTokenText(place.due));
      return encodeChunk(place, { choices: [choice, choice] });
    },
  },
  { name: 'the mark of the end', write: () => 'data: [DONE]\n\n' },
  { name: 'the mark of the end twice', write: () => 'data: [DONE]\n\ndata: [DONE]\n\n' },
  {
    name: 'a last chunk and the mark of the end, and then more',
    write: (place) => {
      const choice = { ...CHOICES[place.kind](getTokenText(place.due)), finish_reason: 'stop' };
      return `${writeChoice(place, choice)}data: [DONE]\n\n${encodeChunk({ ...place, due: place.due + 1 })}`;
    },
  },
  {
    name: 'a reason to finish in the middle',
    write: (place) =>
      encodeChunk(place, { choices: [{ finish_reason: 'stop' }], token_index: undefined }) +
      encodeChunk(place),
  },
  { name: 'text that is no event', write: () => 'garbage\n\n' },
  { name: 'text that is no event, without a blank line', write: () => 'garbage\n' },
  { name: 'bytes that are no line', write: () => '\u0000\u0001\u0002garbage' },
  { name: 'a line of another protocol', write: () => 'x-error: broken\n' },
  { name: 'the head of an answer', write: () => HTTP_HEAD },
  {
    name: 'a whole other answer',
    write: (place) => `${HTTP_HEAD}${encodeRest({ ...place, due: 0, id: 'other.1' })}`,
  },
  { name: 'a NUL in front of the next event', write: () => '\u0000' },
  { name: 'a NUL in a text', write: (place) => encodeChunk(place).replace(' w', ' \u0000w') },
  { name: 'a byte order mark', write: () => '\u00ef\u00bb\u00bf' },
  {
    name: 'bytes that are no UTF-8',
    write: (place) => encodeChunk(place).replace(' w', ' \u00ff\u00fe'),
  },
  { name: 'data of two lines', write: (place) => `data: [DO\n${encodeChunk(place)}` },
  {
    name: 'the mark of the end in two lines of data',
    write: (place) => `data: [DONE]\n${encodeChunk(place)}`,
  },
  { name: 'an index below zero', write: (place) => encodeChunk(place, { token_index: -1 }) },
  {
    name: 'an index between two',
    write: (place) => encodeChunk(place, { token_index: place.due + 0.5 }),
  },
];
