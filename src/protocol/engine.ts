/**
 * Defines the headers, paths and bodies of requests to backend servers, and encodes and decodes the load reports of
 * engines, which are the backend servers that run models.
 */
import { Schema } from 'effect';
import type { Either } from 'purify-ts';
import type { Diagnostic } from '../state/diagnostics.js';
import type { Order } from '../state/placementPlan.js';
import type { LoadReport } from '../state/types.js';
import { AmountSchema, CountSchema } from './fieldSchemas.js';
import { decodeJson } from './json.js';
import { CompletionKind, type CompletionRequest } from './openai.js';

/** Identifies a dispatch; an engine returns it as the id of each chunk of its answer. */
export const REQUEST_ID_HEADER = 'x-request-id';
/** Number of tokens of the answer that the caller has already received. */
export const RESUME_HEADER = 'x-resume-from-token';
/** Set by an engine that rejects a request without starting it; the value is the reason. */
export const REFUSED_HEADER = 'x-engine-refused';
/** Workspace of a request to a plain service, which does not receive the caller's key. */
export const WORKSPACE_HEADER = 'x-gentiandeck-workspace';

/** Reasons for which an engine rejects a request without starting it. */
export const EngineRefusal = { Leaving: 'leaving', Full: 'full', NotLoaded: 'not-loaded' } as const;
export type EngineRefusal = (typeof EngineRefusal)[keyof typeof EngineRefusal];

export const ENGINE_ORDERS_PATH = '/engine/orders';
export const ENGINE_LOAD_PATH = '/engine/load';

export const ENGINE_PATHS: Readonly<Record<CompletionKind, string>> = {
  [CompletionKind.Text]: '/v1/completions',
  [CompletionKind.Chat]: '/v1/chat/completions',
};

/**
 * Encodes a request body for an engine. Answers are always streamed, so that an aborted answer can be detected and
 * resumed.
 */
export function encodeEngineBody(request: CompletionRequest): string {
  const { body, priority, target } = request;
  return JSON.stringify({ ...body, max_tokens: target.maxTokens, priority, stream: true });
}

/** Returns the id of one dispatch of a request. */
export function createDispatchId(requestId: string, attempt: number): string {
  return `${requestId}.${attempt}`;
}

const LoadReportSchema = Schema.Struct({
  running_requests: CountSchema,
  queued_requests: CountSchema,
  used_memory_mb: AmountSchema,
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

/** Encodes an order to an engine. Its id makes it idempotent; the fencing token lets the engine reject a late order. */
export function encodeOrder(order: Order, fencingToken: number): string {
  return JSON.stringify({ ...order, fence: fencingToken });
}

/** Encodes a load report, as the engine stand-ins of the tests send it. */
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
