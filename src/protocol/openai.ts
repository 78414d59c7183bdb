/**
 * Decodes and encodes the messages of the OpenAI-compatible API: requests for completions and chat completions, their
 * streamed and complete responses, and the list of models. Unknown fields of a request are forwarded unchanged.
 */
import { Schema } from 'effect';
import type { Either } from 'purify-ts';
import type { Diagnostic } from '../state/diagnostics.js';
import { hashText } from '../state/random.js';
import { type Model, type Target, TargetKind } from '../state/types.js';
import { decodeValue, parseJson } from './json.js';

/** The API methods that generate text. */
export const CompletionKind = { Text: 'text', Chat: 'chat' } as const;
export type CompletionKind = (typeof CompletionKind)[keyof typeof CompletionKind];

/** Approximate length of a token in characters, for estimates before an engine has tokenized the prompt. */
const CHARACTERS_PER_TOKEN = 4;
/** Length in characters of the prompt prefix whose hash determines prefix affinity. */
const AFFINITY_PREFIX_LENGTH = 256;
const MAX_PRIORITY = 9;
const DEFAULT_PRIORITY = 5;

const TokenCountSchema = Schema.Number.check(
  Schema.isInt(),
  Schema.isBetween({ minimum: 1, maximum: 1_000_000 }),
);

const COMMON_FIELDS = {
  model: Schema.String.check(Schema.isMinLength(1)),
  max_tokens: Schema.optionalKey(TokenCountSchema),
  max_completion_tokens: Schema.optionalKey(TokenCountSchema),
  stream: Schema.optionalKey(Schema.Boolean),
  priority: Schema.optionalKey(
    Schema.Number.check(Schema.isInt(), Schema.isBetween({ minimum: 0, maximum: MAX_PRIORITY })),
  ),
};

const TextRequestSchema = Schema.Struct({ ...COMMON_FIELDS, prompt: Schema.String });

const MessageSchema = Schema.Struct({ role: Schema.String, content: Schema.String });
const ChatRequestSchema = Schema.Struct({
  ...COMMON_FIELDS,
  messages: Schema.NonEmptyArray(MessageSchema),
});

interface CommonRequest {
  readonly model: string;
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
  readonly stream?: boolean;
  readonly priority?: number;
}

/** A decoded request for generated text. */
export interface CompletionRequest {
  readonly kind: CompletionKind;
  readonly target: Extract<Target, { kind: typeof TargetKind.Model }>;
  readonly isStreamed: boolean;
  readonly priority: number;
  /** The complete body as received, for forwarding. */
  readonly body: Readonly<Record<string, unknown>>;
}

/** Estimates the number of tokens of a text; at least 1. */
export function estimateTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
}

function createRequest(
  kind: CompletionKind,
  fields: CommonRequest,
  prompt: string,
  body: unknown,
  defaultMaxTokens: number,
): CompletionRequest {
  return {
    kind,
    target: {
      kind: TargetKind.Model,
      model: fields.model,
      promptTokens: estimateTokens(prompt),
      maxTokens: fields.max_completion_tokens ?? fields.max_tokens ?? defaultMaxTokens,
      prefixHash: hashText(prompt.slice(0, AFFINITY_PREFIX_LENGTH)),
    },
    isStreamed: fields.stream ?? false,
    priority: fields.priority ?? DEFAULT_PRIORITY,
    body: body as Readonly<Record<string, unknown>>,
  };
}

type Decoder = (value: unknown, defaultMaxTokens: number) => Either<Diagnostic, CompletionRequest>;

const DECODERS: Readonly<Record<CompletionKind, Decoder>> = {
  [CompletionKind.Text]: (value, defaultMaxTokens) =>
    decodeValue(TextRequestSchema, value).map((request) =>
      createRequest(CompletionKind.Text, request, request.prompt, value, defaultMaxTokens),
    ),
  [CompletionKind.Chat]: (value, defaultMaxTokens) =>
    decodeValue(ChatRequestSchema, value).map((request) => {
      const prompt = request.messages.map(({ content, role }) => `${role}: ${content}`).join('\n');
      return createRequest(CompletionKind.Chat, request, prompt, value, defaultMaxTokens);
    }),
};

/** Decodes a request body. Left is `MalformedBody`. */
export function decodeCompletionRequest(
  kind: CompletionKind,
  text: string,
  defaultMaxTokens: number,
): Either<Diagnostic, CompletionRequest> {
  return parseJson(text).chain((value) => DECODERS[kind](value, defaultMaxTokens));
}

const FinishSchema = Schema.optionalKey(Schema.NullOr(Schema.String));
const ChunkSchema = Schema.Struct({
  id: Schema.String,
  token_index: Schema.optionalKey(Schema.Number),
  choices: Schema.Array(
    Schema.Struct({
      text: Schema.optionalKey(Schema.String),
      delta: Schema.optionalKey(
        Schema.Struct({ content: Schema.optionalKey(Schema.NullOr(Schema.String)) }),
      ),
      finish_reason: FinishSchema,
    }),
  ),
});

/** One chunk of a streamed response. */
export interface CompletionChunk {
  readonly id: string;
  /** Index of the token in the response, from zero; null for a chunk without one. */
  readonly tokenIndex: number | null;
  /** The first text of the first choice; null if that has none. */
  readonly text: string | null;
  /** All texts of all choices, of which callers may read any. */
  readonly texts: readonly string[];
  readonly finishReason: string | null;
  readonly choiceCount: number;
  /** The complete chunk, for forwarding: as it was received and decoded. */
  readonly data: string;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Decodes one chunk of a streamed response. Left is `MalformedBody`. */
export function decodeChunk(data: string): Either<Diagnostic, CompletionChunk> {
  return parseJson(data).chain((value) =>
    decodeValue(ChunkSchema, value).map((chunk) => {
      const [choice] = chunk.choices;
      const texts = chunk.choices.flatMap(({ delta, text }) =>
        [text, delta?.content].flatMap((part) => part ?? []),
      );
      return {
        id: chunk.id,
        tokenIndex: chunk.token_index ?? null,
        text: choice?.text ?? choice?.delta?.content ?? null,
        texts,
        finishReason: choice?.finish_reason ?? null,
        choiceCount: chunk.choices.length,
        data,
        body: value as Readonly<Record<string, unknown>>,
      };
    }),
  );
}

const LINE_END_PATTERN = /[\r\n]/;

/** Encodes a chunk with an id in one line. */
export function encodeChunk(chunk: CompletionChunk, id: string): string {
  const { body, data } = chunk;
  const isUnchanged = chunk.id === id && !LINE_END_PATTERN.test(data);
  return isUnchanged ? data : JSON.stringify({ ...body, id });
}

const RESPONSE_OBJECTS: Readonly<Record<CompletionKind, string>> = {
  [CompletionKind.Text]: 'text_completion',
  [CompletionKind.Chat]: 'chat.completion',
};

const CHOICE_BODIES: Readonly<Record<CompletionKind, (text: string) => object>> = {
  [CompletionKind.Text]: (text) => ({ text }),
  [CompletionKind.Chat]: (text) => ({ message: { role: 'assistant', content: text } }),
};

/** A complete response that is not streamed. */
export interface CompletionResponse {
  readonly id: string;
  readonly createdAtSeconds: number;
  readonly text: string;
  readonly finishReason: string;
  readonly completionTokens: number;
}

/** Encodes a complete response. */
export function encodeCompletionResponse(
  request: CompletionRequest,
  response: CompletionResponse,
): string {
  const { kind, target } = request;
  const { promptTokens } = target;
  return JSON.stringify({
    id: response.id,
    object: RESPONSE_OBJECTS[kind],
    created: response.createdAtSeconds,
    model: target.model,
    choices: [
      { index: 0, ...CHOICE_BODIES[kind](response.text), finish_reason: response.finishReason },
    ],
    usage: {
      prompt_tokens: promptTokens,
      completion_tokens: response.completionTokens,
      total_tokens: promptTokens + response.completionTokens,
    },
  });
}

/** Encodes the list of models that a workspace may use. */
export function encodeModelList(models: readonly Model[]): string {
  const data = models.map((model) => ({
    id: model.name,
    object: 'model',
    owned_by: 'gentiandeck',
    version: model.version,
  }));
  return JSON.stringify({ object: 'list', data });
}
