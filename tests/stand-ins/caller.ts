/**
 * Sends HTTP requests to a daemon as an API client does, and decodes plain and streamed answers.
 */
import { createSseReader, SSE_DONE, SseItemKind } from '../../src/protocol/sse.js';

/** An answer as the caller receives it. */
export interface CallerAnswer {
  readonly status: number;
  readonly text: string;
  /** Whether the body arrived in full and, if it is a stream, ended with its end marker. */
  readonly isWhole: boolean;
  /** The `run` field of the error object, if the answer is an error of the daemon. */
  readonly run: string | null;
  readonly code: string | null;
  readonly retryAfter: string | null;
  readonly firstByteMs: number;
}

interface ErrorBody {
  readonly error?: { readonly code?: string; readonly run?: string };
}

interface ChunkBody extends ErrorBody {
  readonly choices?: readonly {
    readonly text?: string;
    readonly delta?: { readonly content?: string };
  }[];
}

function parseJson<T>(text: string): T | null {
  try {
    return JSON.parse(text) as T;
  } catch {
    return null;
  }
}

function getChunkText(data: string): string {
  const choice = parseJson<ChunkBody>(data)?.choices?.[0];
  return choice?.text ?? choice?.delta?.content ?? '';
}

async function readBody(response: Response): Promise<{ text: string; isWhole: boolean }> {
  const decoder = new TextDecoder();
  let text = '';
  try {
    for await (const bytes of response.body ?? []) {
      text += decoder.decode(bytes as Uint8Array, { stream: true });
    }
    return { text, isWhole: true };
  } catch {
    return { text, isWhole: false };
  }
}

/** Sends a request and reads the answer until it ends or its connection breaks. */
export async function sendRequest(url: string, init: RequestInit): Promise<CallerAnswer> {
  const startMs = performance.now();
  const response = await fetch(url, init);
  const firstByteMs = performance.now() - startMs;
  const { isWhole, text } = await readBody(response);
  const isStream = response.headers.get('content-type') === 'text/event-stream';
  const items = isStream ? createSseReader()(Buffer.from(text)) : [];
  const events = items.flatMap((item) => (item.kind === SseItemKind.Event ? [item.data] : []));
  const isForeign = items.length > events.length;
  const error = parseJson<ErrorBody>(isStream ? (events.at(-1) ?? '') : text)?.error;
  return {
    status: response.status,
    text: isStream ? events.map(getChunkText).join('') : text,
    isWhole: isWhole && !isForeign && (!isStream || events.at(-1) === SSE_DONE),
    run: error?.run ?? null,
    code: error?.code ?? null,
    retryAfter: response.headers.get('retry-after'),
    firstByteMs,
  };
}

/** Posts JSON with an API key as bearer token, or without one. A string is sent as it is. */
export function postWithKey(
  url: string,
  key: string | null,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<CallerAnswer> {
  return sendRequest(url, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      ...(key === null ? {} : { authorization: `Bearer ${key}` }),
      ...headers,
    },
    body: typeof body === 'string' ? body : JSON.stringify(body),
  });
}
