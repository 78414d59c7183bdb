/**
 * A simulated server of numbered event streams that writes the version of its software into the data of each event.
 */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';

export const EVENT_COUNT = 30;
const EVENT_INTERVAL_MS = 25;
const RESET_AFTER = 9;

/** The query of a path whose first run is reset in its middle. */
export const RESETS_QUERY = 'resets';

/** A server that runs. */
export interface VersionedServer {
  readonly address: string;
  readonly close: () => void;
}

function runStream(socket: Socket, head: string, version: string, hasRun: Set<string>): void {
  const attemptId = /^x-attempt-id: (\S+)/im.exec(head)?.[1] ?? '';
  const lastEventId = Number(/^last-event-id: (\d+)/im.exec(head)?.[1] ?? 0);
  const isReset = head.split('\r\n')[0]!.includes(RESETS_QUERY) && !hasRun.has(attemptId);
  hasRun.add(attemptId);
  socket.write(
    `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attemptId}\r\nContent-Type: text/event-stream\r\n` +
      'Transfer-Encoding: chunked\r\n\r\n',
  );
  const step = (eventId: number): void => {
    if (socket.destroyed) {
      return;
    }
    if (isReset && eventId > RESET_AFTER) {
      socket.resetAndDestroy();
      return;
    }
    if (eventId > EVENT_COUNT) {
      socket.write('0\r\n\r\n');
      return;
    }
    const text = `id: ${eventId}\ndata: ${version}\n\n`;
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
    setTimeout(() => step(eventId + 1), EVENT_INTERVAL_MS);
  };
  step(lastEventId + 1);
}

/** Starts a server on a free port. `hasRun` is shared by servers of which the first that runs a request resets its run. */
export async function startVersionedServer(
  version: string,
  hasRun: Set<string>,
): Promise<VersionedServer> {
  const sockets = new Set<Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    let received = '';
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
      if (received.includes('\r\n\r\n')) {
        runStream(socket, received, version, hasRun);
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
