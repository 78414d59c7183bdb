/**
 * What the stand-ins share: a small JSON server and its settings.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';

/** A handler gets the whole body. */
export type StandInHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => void;

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, value: unknown, status = 200): void {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Returns the path without its query. */
export function getPath(request: IncomingMessage): string {
  return (request.url ?? '/').split('?')[0]!;
}

/** Serves a table of handlers, by method and path; `fallback` takes all else. */
export function serveTable(
  port: number,
  table: Readonly<Record<string, StandInHandler>>,
  fallback: StandInHandler,
): Promise<http.Server> {
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('error', () => {});
    response.on('error', () => {});
    request.on('end', () => {
      const handler = table[`${request.method} ${getPath(request)}`] ?? fallback;
      handler(request, response, Buffer.concat(chunks).toString());
    });
  });
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve) => {
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

/** Reads `--name value` pairs of the command line. */
export function readFlags(argv: readonly string[]): ReadonlyMap<string, string> {
  const pairs = argv.flatMap((text, i) =>
    text.startsWith('--') ? [[text.slice(2), argv[i + 1] ?? ''] as const] : [],
  );
  return new Map(pairs);
}

/** Tells the parent process that a stand-in listens. */
export function announceReady(): void {
  process.stdout.write('ready\n');
}
