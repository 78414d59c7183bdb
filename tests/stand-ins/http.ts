/**
 * Provides what the stand-ins share: an HTTP server with a table of handlers, and the reading of
 * command-line flags.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';

/** Handles a request whose body has been read in full. */
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

/** Returns the path of a request without the query. */
export function getPath(request: IncomingMessage): string {
  return (request.url ?? '/').split('?')[0]!;
}

/** Starts a loopback server with handlers by method and path; `fallback` handles all other requests. */
export function startHandlerServer(
  port: number,
  handlers: Readonly<Record<string, StandInHandler>>,
  fallback: StandInHandler,
): Promise<http.Server> {
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('error', () => {});
    response.on('error', () => {});
    request.on('end', () => {
      const handler = handlers[`${request.method} ${getPath(request)}`] ?? fallback;
      handler(request, response, Buffer.concat(chunks).toString());
    });
  });
  server.keepAliveTimeout = 60_000;
  server.maxHeadersCount = 0;
  return new Promise((resolve) => {
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

/** Parses the `--name value` pairs of a command line. */
export function readFlags(argv: readonly string[]): ReadonlyMap<string, string> {
  const pairs = argv.flatMap((text, i) =>
    text.startsWith('--') ? [[text.slice(2), argv[i + 1] ?? ''] as const] : [],
  );
  return new Map(pairs);
}

/** Reports on standard output, to the parent process, that the stand-in is listening. */
export function announceReady(): void {
  process.stdout.write('ready\n');
}
