/**
 * One small HTTP call: a text out, a text back. For the store, load reports and the admin API.
 */
import http from 'node:http';
import { Effect } from 'effect';

const MAX_ANSWER_BYTES = 8_388_608;
const MAX_IDLE_SOCKETS = 64;

/** A call that got no whole answer. */
export interface CallFailure {
  /** False if it is certain that the other side received nothing. */
  readonly mayHaveRun: boolean;
  readonly reason: string;
}

export interface CallAnswer {
  readonly status: number;
  readonly text: string;
}

export interface Call {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body: string | null;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
  /** True for a connection of its own: a kept one may be closed at the moment of sending. */
  readonly isFresh?: boolean;
}

/** Splits `host:port`. */
export function splitAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

const agent = new http.Agent({ keepAlive: true, maxFreeSockets: MAX_IDLE_SOCKETS });

function startCall(
  call: Call,
  resume: (result: Effect.Effect<CallAnswer, CallFailure>) => void,
): () => void {
  let isConnected = false;
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
        // Without it, Node.js sends the body of a DELETE unframed.
        'content-length': Buffer.byteLength(call.body ?? ''),
        ...call.headers,
      },
      agent: call.isFresh === true ? false : agent,
    },
    (response) => {
      const chunks: Buffer[] = [];
      let sizeBytes = 0;
      response.on('data', (chunk: Buffer) => {
        sizeBytes += chunk.length;
        chunks.push(chunk);
        if (sizeBytes > MAX_ANSWER_BYTES) {
          request.destroy();
        }
      });
      response.on('error', (error) => fail(error.message));
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString();
        resume(Effect.succeed({ status: response.statusCode ?? 0, text }));
      });
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
  request.on('error', (error) => fail(error.message));
  request.end(call.body ?? undefined);
  return () => request.destroy();
}

/** Makes one call. */
export function callHttp(call: Call): Effect.Effect<CallAnswer, CallFailure> {
  const attempt = Effect.callback<CallAnswer, CallFailure>((resume) => {
    const cancel = startCall(call, resume);
    return Effect.sync(cancel);
  });
  return Effect.timeoutOrElse(attempt, {
    duration: call.timeoutMs,
    orElse: () => Effect.fail({ mayHaveRun: true, reason: 'timeout' }),
  });
}
