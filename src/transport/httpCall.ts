/**
 * A minimal HTTP client with text bodies, used for the store, engine load reports and orders, and the
 * admin API.
 */
import http, { type IncomingHttpHeaders } from 'node:http';
import { Effect } from 'effect';
import { Either } from 'purify-ts';
import { type BodyPiece, readBodyInPieces } from './bodyReader.js';
import { createByteCollector } from '../protocol/byteCollector.js';

const DEFAULT_MAX_RESPONSE_BYTES = 8_388_608;
/** Most informational responses (1xx) before a response. */
export const MAX_INFORMATIONAL_RESPONSES = 32;
const MAX_IDLE_SOCKETS = 64;

/** A call without a complete response. */
export interface HttpCallFailure {
  /** False if the server certainly received nothing. */
  readonly mayHaveRun: boolean;
  readonly reason: string;
}

export interface HttpCallResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

export interface HttpCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body: string | null;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
  /** Longest body of a response with its framing, where many calls are made at once. */
  readonly maxResponseBytes?: number;
  /**
   * Whether to open a new connection. The server may close a pooled one just as the request is sent.
   */
  readonly usesNewConnection?: boolean;
}

/** Splits an address of the form `host:port`. */
export function splitAddress(address: string): { host: string; port: number } {
  const colonIndex = address.lastIndexOf(':');
  return { host: address.slice(0, colonIndex), port: Number(address.slice(colonIndex + 1)) };
}

const agent = new http.Agent({ keepAlive: true, maxFreeSockets: MAX_IDLE_SOCKETS });

/** Starts a call, and returns the function that ends it. Throws if Node.js does not accept its address or its head. */
function startCall(
  call: HttpCall,
  resume: (result: Effect.Effect<HttpCallResponse, HttpCallFailure>) => void,
): () => void {
  const { maxResponseBytes = DEFAULT_MAX_RESPONSE_BYTES } = call;
  let isConnected = false;
  let informationCount = 0;
  const fail = (reason: string): void => {
    resume(Effect.fail({ mayHaveRun: isConnected, reason }));
  };
  const request = http.request(
    {
      ...splitAddress(call.address),
      method: call.method,
      path: call.path,
      headers: {
        'content-type': 'application/json',
        // Without a content length, Node.js sends the body of a DELETE without framing.
        'content-length': Buffer.byteLength(call.body ?? ''),
        ...call.headers,
      },
      agent: call.usesNewConnection === true ? false : agent,
    },
    (response) => {
      const collector = createByteCollector();
      let totalBytes = 0;
      const addPiece = ({ bytes, receivedBytes }: BodyPiece): void => {
        totalBytes += receivedBytes;
        collector.add(bytes);
        if (totalBytes > maxResponseBytes) {
          request.destroy();
        }
      };
      const end = (): void => {
        const { headers, statusCode: status = 0 } = response;
        resume(Effect.succeed({ status, headers, text: collector.take().toString() }));
      };
      response.on('error', (error) => fail(error.message));
      readBodyInPieces(response, addPiece, end);
    },
  );
  request.on('socket', (socket) => {
    if (!socket.connecting) {
      isConnected = true;
    } else {
      socket.once('connect', () => {
        isConnected = true;
      });
    }
  });
  request.on('information', () => {
    informationCount += 1;
    if (informationCount > MAX_INFORMATIONAL_RESPONSES) {
      request.destroy(new Error('too many informational responses'));
    }
  });
  request.on('error', (error) => fail(error.message));
  request.end(call.body ?? undefined);
  return () => request.destroy();
}

/**
 * Makes one call. The timeout covers connecting and reading the whole response. A call that cannot be started fails like
 * one whose server received nothing.
 */
export function callHttp(call: HttpCall): Effect.Effect<HttpCallResponse, HttpCallFailure> {
  const response = Effect.callback<HttpCallResponse, HttpCallFailure>((resume) =>
    Either.encase(() => startCall(call, resume)).caseOf<Effect.Effect<void> | undefined>({
      Left: ({ message: reason }) => {
        resume(Effect.fail({ mayHaveRun: false, reason }));
        return undefined;
      },
      Right: (cancel) => Effect.sync(cancel),
    }),
  );
  return Effect.timeoutOrElse(response, {
    duration: call.timeoutMs,
    orElse: () => Effect.fail({ mayHaveRun: true, reason: 'timeout' }),
  });
}
