/**
 * The answers of the servers of a soak: numbered events that name their run and their attempt, and plain answers.
 */

/** Number of events in a whole stream. */
export const EVENT_COUNT = 40;
const PLAIN_ANSWER_BYTES = 3_000;

/** One event of a stream. */
export interface NumberedEvent {
  readonly eventId: number;
  /** Names the run of the request at a server. */
  readonly run: string;
  /** The attempt as the server received it. */
  readonly attemptId: string;
  readonly fill: string;
}

/** Formats an event. */
export function formatEvent({ attemptId, eventId, fill, run }: NumberedEvent): string {
  return `id: ${eventId}\ndata: ${run} ${attemptId} ${fill}\n\n`;
}

/** Formats the plain answer to an attempt. */
export function formatPlainAnswer(attemptId: string): string {
  return `${attemptId} ${'p'.repeat(PLAIN_ANSWER_BYTES)}`;
}

const EVENT_PATTERN = /^id: (\d+)\ndata: (\S+) (\S+) x*$/;
const EVENT_START_PATTERN = /^(i|id|id:|id: \d*(\n(d|da|dat|data|data:|data: ?[^\n]*)?\n?)?)?$/;

/** The events of a body, and the text between or after them that is no event. */
export interface ParsedEvents {
  readonly events: readonly Omit<NumberedEvent, 'fill'>[];
  readonly foreign: readonly string[];
  /** True if the body ends within an event. */
  readonly endsWithinEvent: boolean;
}

/** Parses the body of a stream, which may end within an event. */
export function parseEvents(body: string): ParsedEvents {
  const parts = body.split('\n\n');
  const rest = parts.pop() ?? '';
  const matches = parts.map((part) => ({ part, match: EVENT_PATTERN.exec(part) }));
  return {
    events: matches.flatMap(({ match }) =>
      match === null
        ? []
        : [{ eventId: Number(match[1]), run: match[2] ?? '', attemptId: match[3] ?? '' }],
    ),
    foreign: [
      ...matches.filter(({ match }) => match === null).map(({ part }) => part),
      ...(EVENT_START_PATTERN.test(rest) ? [] : [rest]),
    ].map((text) => text.slice(0, 200)),
    endsWithinEvent: rest !== '',
  };
}
