/**
 * A simulated server of numbered event streams that spoils the first run of each request. The path of a request sets the form, where it
 * comes, what follows it, and the framing.
 */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';
import { formatEvents, listStreamForms } from './streamForms.js';

export const EVENT_COUNT = 14;
const EVENT_INTERVAL_MS = 2;

/** What a server does after the form. */
export const Tail = { GoesOn: 'goesOn', Ends: 'ends', Resets: 'resets' } as const;
export type Tail = (typeof Tail)[keyof typeof Tail];

/** How a run is spoiled. */
export interface Spoiling {
  /** The name of a form. */
  readonly form: string;
  /** Number of events before the form. */
  readonly after: number;
  readonly tail: Tail;
  readonly isFramed: boolean;
  /** Status and content type of the spoiled run, in place of those of a stream. */
  readonly head?: Head;
}

/** The start of an answer's head. */
export interface Head {
  readonly status: string;
  /** Header lines with their line ends. */
  readonly contentType: string;
}

const STREAM_HEAD: Head = { status: '200 OK', contentType: 'Content-Type: text/event-stream\r\n' };

/** Encodes a spoiling as the query of a path. */
export function encodeSpoiling(spoiling: Spoiling): string {
  return encodeURIComponent(JSON.stringify(spoiling));
}

type StreamWriter = Readonly<Record<'write', (text: string) => void>> &
  Readonly<Record<'end', () => void>>;

function createWriter(socket: Socket, isFramed: boolean): StreamWriter {
  return {
    write: (text) => {
      const size = Buffer.byteLength(text, 'latin1').toString(16);
      socket.write(isFramed ? `${size}\r\n${text}\r\n` : text, 'latin1');
    },
    end: () => {
      if (isFramed) {
        socket.write('0\r\n\r\n');
      }
      socket.end();
    },
  };
}

/** What follows the form; returns whether the run goes on. */
const TAILS: Readonly<Record<Tail, (socket: Socket, writer: StreamWriter) => boolean>> = {
  [Tail.GoesOn]: () => true,
  [Tail.Ends]: (_socket, writer) => {
    writer.end();
    return false;
  },
  [Tail.Resets]: (socket) => {
    setTimeout(() => socket.resetAndDestroy(), EVENT_INTERVAL_MS * 5);
    return false;
  },
};

const BLANK_LINES = '\n\n\n\n';

/** Returns the text of a form where an event is due. Blank lines belong to the event before, so they are no form of their own. */
function findSpoilingText(form: string, due: number): string {
  return listStreamForms(due).find(({ name }) => name === form)?.text ?? BLANK_LINES;
}

function runStream(socket: Socket, head: string, hasRun: Set<string>): void {
  const attemptId = /^x-attempt-id: (\S+)/im.exec(head)?.[1] ?? '';
  const lastEventId = Number(/^last-event-id: (\d+)/im.exec(head)?.[1] ?? 0);
  const query = /^\S+ \S+\?(\S+)/.exec(head)?.[1] ?? '';
  const {
    after,
    form,
    head: spoiledHead,
    isFramed,
    tail,
  } = JSON.parse(decodeURIComponent(query)) as Spoiling;
  const isSpoiled = !hasRun.has(attemptId);
  hasRun.add(attemptId);
  const framing = isFramed ? 'Transfer-Encoding: chunked' : 'Connection: close';
  const { contentType, status } = (isSpoiled ? spoiledHead : null) ?? STREAM_HEAD;
  socket.write(
    `HTTP/1.1 ${status}\r\nX-Attempt-Id: ${attemptId}\r\n${contentType}${framing}\r\n\r\n`,
  );
  const writer = createWriter(socket, isFramed);
  const step = (eventId: number): void => {
    if (isSpoiled && eventId === after + 1) {
      writer.write(findSpoilingText(form, eventId));
      if (!TAILS[tail](socket, writer)) {
        return;
      }
    }
    if (eventId > EVENT_COUNT) {
      writer.end();
      return;
    }
    writer.write(formatEvents(eventId));
    setTimeout(() => step(eventId + 1), EVENT_INTERVAL_MS);
  };
  step(lastEventId + 1);
}

/** Starts a server on a free port. `hasRun` is shared by servers that spoil each request once. */
export async function startSpoilingServer(
  hasRun: Set<string>,
): Promise<{ readonly address: string; readonly close: () => void }> {
  const sockets = new Set<Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    let received = '';
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
      if (received.includes('\r\n\r\n')) {
        runStream(socket, received, hasRun);
        received = '';
      }
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
