/**
 * What servers may send in the middle of an event stream: sound forms, and those that spoil it.
 */
import { EventVerdict } from '../../src/protocol/entry/streamJudge.js';
import { SpoilReason } from '../../src/state/entry/spoiledStreams.js';

const { Idle, Repeated, Sound, Spoiled } = EventVerdict;

/** A form, whose characters are bytes, and what the judge of streams says of its first event. */
export interface StreamForm {
  readonly name: string;
  readonly text: string;
  readonly verdict: EventVerdict;
  readonly reason?: SpoilReason;
}

/** Formats the events with the given ids. */
export function formatEvents(...ids: readonly (bigint | number | string)[]): string {
  return ids.map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join('');
}

/** Lines with a name that no field of an event has. */
const FOREIGN_FIELDS = ['foo: bar', 'Content-Type: text/html', 'garbage:', 'Data: x', 'ID: 10'];

/** Returns what a server may send where an event of a stream is due, which begins with 1, and the verdict on the first event of it. */
export function listStreamForms(due: number): readonly StreamForm[] {
  return [
    { name: 'the next event', text: formatEvents(due), verdict: Sound },
    { name: 'the next event with leading zeros', text: formatEvents(`00${due}`), verdict: Sound },
    { name: 'empty data', text: `id: ${due}\ndata\n\n`, verdict: Sound },
    {
      name: 'an event without space after the colon',
      text: `id:${due}\ndata:x\n\n`,
      verdict: Sound,
    },
    {
      name: 'an event with a type, a retry time and a comment',
      text: `: c\nevent: piece\nretry: 5\nid: ${due}\ndata: x\n\n`,
      verdict: Sound,
    },
    {
      name: 'an event after a line with the versions of weights',
      text: `x-weight-versions: 7\nid: ${due}\ndata: x\n\n`,
      verdict: Sound,
    },
    { name: 'a comment', text: ': keep open\n\n', verdict: Idle },
    { name: 'a colon alone', text: ':\n\n', verdict: Idle },
    { name: 'a comment of garbage', text: ':\u0000\u00fe{"id": 7}\n\n', verdict: Idle },
    { name: 'a retry time', text: 'retry: 100\n\n', verdict: Idle },
    { name: 'a retry time that is no number', text: 'retry: xyz\n\n', verdict: Idle },
    { name: 'the event again', text: formatEvents(due - 1), verdict: Repeated },
    { name: 'an earlier event', text: formatEvents(1), verdict: Repeated },
    {
      name: 'data without an id',
      text: 'data: x\n\n',
      verdict: Spoiled,
      reason: SpoilReason.NoNumber,
    },
    {
      name: 'data with an empty id',
      text: 'id:\ndata: x\n\n',
      verdict: Spoiled,
      reason: SpoilReason.NoNumber,
    },
    {
      name: 'data with an id without a value',
      text: 'id\ndata: x\n\n',
      verdict: Spoiled,
      reason: SpoilReason.NoNumber,
    },
    {
      name: 'data with a word as id',
      text: 'id: abc\ndata: x\n\n',
      verdict: Spoiled,
      reason: SpoilReason.NoNumber,
    },
    {
      name: 'data with a negative id',
      text: `id: -${due}\ndata: x\n\n`,
      verdict: Spoiled,
      reason: SpoilReason.NoNumber,
    },
    {
      name: 'data with a fraction as id',
      text: `id: ${due}.5\ndata: x\n\n`,
      verdict: Spoiled,
      reason: SpoilReason.NoNumber,
    },
    {
      name: 'data with a NUL in its id',
      text: `id: 1\u0000${due}\ndata: x\n\n`,
      verdict: Spoiled,
      reason: SpoilReason.NoNumber,
    },
    {
      name: 'data with a space more in front of its id',
      text: `id:  ${due}\ndata: x\n\n`,
      verdict: Spoiled,
      reason: SpoilReason.NoNumber,
    },
    {
      name: 'data with a no-break space after its id',
      text: `id: ${due}\u00a0\ndata: x\n\n`,
      verdict: Spoiled,
      reason: SpoilReason.NoNumber,
    },
    {
      name: 'data with an id of 50 digits',
      text: `id: ${'1'.repeat(50)}\ndata: x\n\n`,
      verdict: Spoiled,
      reason: SpoilReason.NoNumber,
    },
    {
      name: 'an event whose last id is empty',
      text: `id: ${due}\nid:\ndata: x\n\n`,
      verdict: Spoiled,
      reason: SpoilReason.NoNumber,
    },
    {
      name: 'the id of the event before again',
      text: `id: ${due - 1}\n\n`,
      verdict: Spoiled,
      reason: SpoilReason.NoData,
    },
    {
      name: 'a line with the versions of weights',
      text: 'x-weight-versions: 7\n\n',
      verdict: Spoiled,
      reason: SpoilReason.NoData,
    },
    {
      name: 'a type without data',
      text: 'event: error\n\n',
      verdict: Spoiled,
      reason: SpoilReason.NoData,
    },
    {
      name: 'an id far ahead without data',
      text: `id: ${due + 490}\n\n`,
      verdict: Spoiled,
      reason: SpoilReason.NoData,
    },
    {
      name: 'the next id without data',
      text: `id: ${due}\n\n`,
      verdict: Spoiled,
      reason: SpoilReason.NoData,
    },
    {
      name: 'an empty id without data',
      text: 'id:\n\n',
      verdict: Spoiled,
      reason: SpoilReason.NoData,
    },
    {
      name: 'an event far ahead',
      text: formatEvents(due + 490),
      verdict: Spoiled,
      reason: SpoilReason.Skipped,
    },
    {
      name: 'the event after the next one',
      text: formatEvents(due + 1),
      verdict: Spoiled,
      reason: SpoilReason.Skipped,
    },
    {
      name: 'an event with two ids, of which the last is due',
      text: `id: 4\nid: ${due}\ndata: x\n\n`,
      verdict: Spoiled,
      reason: SpoilReason.TwoNumbers,
    },
    ...FOREIGN_FIELDS.flatMap((line) => [
      {
        name: `a block of ${line}`,
        text: `${line}\n\n`,
        verdict: Spoiled,
        reason: SpoilReason.ForeignText,
      },
      {
        name: `an event after ${line}`,
        text: `${line}\n${formatEvents(due)}`,
        verdict: Spoiled,
        reason: SpoilReason.ForeignText,
      },
    ]),
    {
      name: 'an event with the versions of weights after its id',
      text: `id: ${due}\nx-weight-versions: 7\ndata: x\n\n`,
      verdict: Spoiled,
      reason: SpoilReason.ForeignText,
    },
    {
      name: 'an event after versions of weights that are no number',
      text: `x-weight-versions: new\n${formatEvents(due)}`,
      verdict: Spoiled,
      reason: SpoilReason.ForeignText,
    },
    {
      name: 'text with a blank line after it',
      text: 'some text\n\n',
      verdict: Spoiled,
      reason: SpoilReason.ForeignText,
    },
    {
      name: 'one word with a blank line after it',
      text: 'word\n\n',
      verdict: Spoiled,
      reason: SpoilReason.ForeignText,
    },
    {
      name: 'bytes that are no text',
      text: '\u0000\u0001\u00fe\u00ff\n\n',
      verdict: Spoiled,
      reason: SpoilReason.ForeignText,
    },
    {
      name: 'text without a blank line before the next event',
      text: `some text${formatEvents(due)}`,
      verdict: Spoiled,
      reason: SpoilReason.ForeignText,
    },
    {
      name: 'a line of text before the next event',
      text: `some text\n${formatEvents(due)}`,
      verdict: Spoiled,
      reason: SpoilReason.ForeignText,
    },
    {
      name: 'the head of an answer',
      text: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
      verdict: Spoiled,
      reason: SpoilReason.ForeignText,
    },
    {
      name: 'an indented line',
      text: ` id: ${due}\ndata: x\n\n`,
      verdict: Spoiled,
      reason: SpoilReason.ForeignText,
    },
    {
      name: 'a JSON document',
      text: '{"error":"x"}\n\n',
      verdict: Spoiled,
      reason: SpoilReason.ForeignText,
    },
  ];
}

/** Returns the forms that spoil a stream. */
export function listSpoiledForms(due: number): readonly StreamForm[] {
  return listStreamForms(due).filter(({ verdict }) => verdict === Spoiled);
}

/** What a server does after it has spoiled a stream. */
export const SpoiledTail = { GoesOn: 'goesOn', Ends: 'ends', Resets: 'resets' } as const;
