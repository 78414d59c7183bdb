/**
 * What is said to backend servers: the body and headers of a dispatch, and an engine's load report.
 */
import { Schema } from 'effect';
import type { Either } from 'purify-ts';
import type { Diagnostic } from '../state/diagnostics.js';
import type { Order } from '../state/placementPlan.js';
import type { LoadReport } from '../state/types.js';
import { decodeJson } from './json.js';
import { CompletionKind, type CompletionRequest } from './openai.js';

/** Identifies a dispatch; an engine returns it as the id of each part of its answer. */
export const REQUEST_ID_HEADER = 'x-request-id';
/** Tells an engine how many tokens of the answer the caller already has. */
export const RESUME_HEADER = 'x-resume-from-token';
/** An engine sets it on a refusal to say why it did not begin a request. */
export const REFUSED_HEADER = 'x-engine-refused';
/** Tells a plain service whom a call is for, in place of the key. */
export const WORKSPACE_HEADER = 'x-gentiandeck-workspace';

/** The reasons with which an engine refuses a request that it has not begun. */
export const EngineRefusal = { Leaving: 'leaving', Full: 'full', NotLoaded: 'not-loaded' } as const;
export type EngineRefusal = (typeof EngineRefusal)[keyof typeof EngineRefusal];

export const ENGINE_ORDERS_PATH = '/engine/orders';
export const ENGINE_LOAD_PATH = '/engine/load';

export const ENGINE_PATHS: Readonly<Record<CompletionKind, string>> = {
  [CompletionKind.Text]: '/v1/completions',
  [CompletionKind.Chat]: '/v1/chat/completions',
};

/** Writes the body for an engine, which always streams, so that a break can be seen and mended. */
export function encodeEngineBody(request: CompletionRequest): string {
  const { body, priority, target } = request;
  return JSON.stringify({ ...body, max_tokens: target.maxTokens, priority, stream: true });
}

/** Names one dispatch of a request. */
export function createDispatchId(requestId: string, attempt: number): string {
  return `${requestId}.${attempt}`;
}

const LoadReportSchema = Schema.Struct({
  running_requests: Schema.Number,
  queued_requests: Schema.Number,
  used_memory_mb: Schema.Number,
  loaded_models: Schema.Array(Schema.String),
  loading_models: Schema.optionalKey(Schema.Array(Schema.String)),
  leaving: Schema.Boolean,
});

/** Decodes an engine's load report. */
export function decodeLoadReport(text: string): Either<Diagnostic, LoadReport> {
  return decodeJson(LoadReportSchema, text).map((report) => ({
    runningRequests: report.running_requests,
    queuedRequests: report.queued_requests,
    usedMemoryMb: report.used_memory_mb,
    loadedModels: report.loaded_models,
    loadingModels: report.loading_models ?? [],
    leaving: report.leaving,
  }));
}

/** Writes an order to an engine. The id makes it idempotent, the fence lets a late one be refused. */
export function encodeOrder(order: Order, fence: number): string {
  return JSON.stringify({ ...order, fence });
}

/** Writes a load report; used by stand-ins of engines. */
export function encodeLoadReport(report: LoadReport): string {
  return JSON.stringify({
    running_requests: report.runningRequests,
    queued_requests: report.queuedRequests,
    used_memory_mb: report.usedMemoryMb,
    loaded_models: report.loadedModels,
    loading_models: report.loadingModels,
    leaving: report.leaving,
  });
}
