/**
 * Collects the metrics of ended requests by workspace and target, formats them as Prometheus text, and encodes them
 * for the burn rate report over all VMs.
 */
import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';
import { type RequestMetrics, RequestOutcome } from '../coordination/events.js';
import type { MeasuredSeries, Measures } from '../protocol/burnMessages.js';
import {
  BURN_WINDOWS,
  type BurnSeries,
  countRequest,
  createBurnSeries,
  getWindowCounts,
  MissReason,
} from '../state/burn.js';
import type { AnswerSpoilReason } from '../state/spoiledAnswers.js';
import type { Objective } from '../state/types.js';

const HIGHEST_TRACKABLE_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
const MS_PER_SECOND = 1000;
const QUANTILES = [0.5, 0.95, 0.99];

/** The metrics of one workspace and target. */
interface Series {
  readonly workspace: string;
  readonly target: string;
  readonly outcomes: Map<RequestOutcome, number>;
  readonly refusals: Map<string, number>;
  tokens: number;
  readonly firstTokenMs: Histogram;
  readonly maxGapMs: Histogram;
  readonly durationMs: Histogram;
  readonly burn: BurnSeries;
}

/** The request metrics of a VM. */
export interface Metrics {
  /** Records an ended request. */
  readonly record: (request: RequestMetrics, objective: Objective, nowMs: number) => void;
  /** Counts an answer that did not belong to its request. */
  readonly recordSpoiledAnswer: (server: string, reason: AnswerSpoilReason) => void;
  /** Returns the counts and latencies of this VM for the burn rate report over all VMs. */
  readonly getMeasures: (nowMs: number) => Measures;
  /** Returns all metrics in the Prometheus text format. */
  readonly formatPrometheus: () => string;
}

function createHistogram(): Histogram {
  return build({
    highestTrackableValue: HIGHEST_TRACKABLE_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    autoResize: true,
  });
}

function createSeries(workspace: string, target: string): Series {
  return {
    workspace,
    target,
    outcomes: new Map(),
    refusals: new Map(),
    tokens: 0,
    firstTokenMs: createHistogram(),
    maxGapMs: createHistogram(),
    durationMs: createHistogram(),
    burn: createBurnSeries(),
  };
}

function increment<K>(counts: Map<K, number>, key: K): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function escapeLabel(text: string): string {
  return text.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}

type Labels = Readonly<Record<string, string>>;

function formatLine(name: string, labels: Labels, value: number): string {
  const text = Object.entries(labels)
    .map(([key, label]) => `${key}="${escapeLabel(label)}"`)
    .join(',');
  return `${name}{${text}} ${value}`;
}

function formatHistogram(name: string, labels: Labels, histogram: Histogram): string[] {
  return [
    ...QUANTILES.map((quantile) =>
      formatLine(
        name,
        { ...labels, quantile: String(quantile) },
        histogram.getValueAtPercentile(quantile * 100) / MS_PER_SECOND,
      ),
    ),
    formatLine(`${name}_count`, labels, histogram.totalCount),
  ];
}

function formatSeries(series: Series): string[] {
  const { target, workspace } = series;
  const labels = { workspace, target };
  return [
    ...[...series.outcomes].map(([outcome, count]) =>
      formatLine('gentiandeck_requests_total', { ...labels, outcome }, count),
    ),
    ...[...series.refusals].map(([reason, count]) =>
      formatLine('gentiandeck_refusals_total', { ...labels, reason }, count),
    ),
    formatLine('gentiandeck_tokens_total', labels, series.tokens),
    ...formatHistogram('gentiandeck_first_token_seconds', labels, series.firstTokenMs),
    ...formatHistogram('gentiandeck_token_gap_seconds', labels, series.maxGapMs),
    ...formatHistogram('gentiandeck_duration_seconds', labels, series.durationMs),
  ];
}

const TYPE_LINES = [
  '# TYPE gentiandeck_requests_total counter',
  '# TYPE gentiandeck_refusals_total counter',
  '# TYPE gentiandeck_spoiled_answers_total counter',
  '# TYPE gentiandeck_tokens_total counter',
  '# TYPE gentiandeck_first_token_seconds summary',
  '# TYPE gentiandeck_token_gap_seconds summary',
  '# TYPE gentiandeck_duration_seconds summary',
];

/** Diagnostic keys of refusals that the caller caused. They do not count toward the objective. */
const CALLER_ERROR_KEYS: ReadonlySet<string> = new Set([
  'missing_key',
  'unknown_key',
  'unknown_model',
  'unknown_route',
  'model_not_allowed',
  'route_not_allowed',
  'method_not_allowed',
  'malformed_body',
  'request_too_large',
  'rate_exceeded',
  'claim_in_progress',
]);

/** Returns whether a request counts toward the objective of its workspace. */
function countsTowardObjective({ diagnosticKey, outcome }: RequestMetrics): boolean {
  const isCallerError = diagnosticKey !== null && CALLER_ERROR_KEYS.has(diagnosticKey);
  return outcome !== RequestOutcome.Abandoned && !isCallerError;
}

type MissReasonFinder = (request: RequestMetrics, objective: Objective) => MissReason | null;

function findLatencyMiss(request: RequestMetrics, objective: Objective): MissReason | null {
  if ((request.firstTokenMs ?? 0) > objective.firstTokenMs) {
    return MissReason.FirstToken;
  }
  return request.meanGapMs > objective.tokenGapMs ? MissReason.TokenGap : null;
}

const MISS_REASON_FINDERS: Readonly<Record<RequestOutcome, MissReasonFinder>> = {
  [RequestOutcome.Completed]: findLatencyMiss,
  [RequestOutcome.Refused]: () => MissReason.Refused,
  [RequestOutcome.Broken]: () => MissReason.Broken,
  [RequestOutcome.Abandoned]: () => null,
};

function findMissReason(request: RequestMetrics, objective: Objective): MissReason | null {
  return MISS_REASON_FINDERS[request.outcome](request, objective);
}

function encodeSeries(series: Series, nowMs: number): MeasuredSeries {
  const { burn, firstTokenMs, target, workspace } = series;
  return {
    workspace,
    target,
    windows: BURN_WINDOWS.map(({ lengthMs }) => getWindowCounts(burn, lengthMs, nowMs)),
    firstTokenMs: encodeIntoCompressedBase64(firstTokenMs),
  };
}

/** Merges the compressed histograms of several VMs and returns the 95th percentile, or 0 without values. */
export function getMergedP95(encoded: readonly string[]): number {
  const merged = createHistogram();
  encoded.forEach((text) => merged.add(decodeFromCompressedBase64(text)));
  return merged.totalCount === 0 ? 0 : merged.getValueAtPercentile(95);
}

/** Creates the request metrics of a VM, initially empty. */
export function createMetrics(): Metrics {
  const seriesByKey = new Map<string, Series>();
  const spoiledAnswers = new Map<string, Map<AnswerSpoilReason, number>>();

  const formatSpoiledAnswers = (): string[] =>
    [...spoiledAnswers].flatMap(([server, counts]) =>
      [...counts].map(([reason, count]) =>
        formatLine('gentiandeck_spoiled_answers_total', { server, reason }, count),
      ),
    );

  const getSeries = ({ target, workspace }: RequestMetrics): Series => {
    const key = JSON.stringify([workspace, target]);
    const existing = seriesByKey.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const series = createSeries(workspace, target);
    seriesByKey.set(key, series);
    return series;
  };

  return {
    record: (request, objective, nowMs) => {
      const series = getSeries(request);
      increment(series.outcomes, request.outcome);
      if (request.diagnosticKey !== null) {
        increment(series.refusals, request.diagnosticKey);
      }
      series.tokens += request.tokens;
      series.durationMs.recordValue(request.durationMs);
      if (request.firstTokenMs !== null) {
        series.firstTokenMs.recordValue(request.firstTokenMs);
        series.maxGapMs.recordValue(request.maxGapMs);
      }
      if (countsTowardObjective(request)) {
        countRequest(series.burn, findMissReason(request, objective), nowMs);
      }
    },
    recordSpoiledAnswer: (server, reason) => {
      const counts = spoiledAnswers.get(server) ?? new Map<AnswerSpoilReason, number>();
      spoiledAnswers.set(server, counts);
      increment(counts, reason);
    },
    getMeasures: (nowMs) => ({
      series: [...seriesByKey.values()].map((series) => encodeSeries(series, nowMs)),
    }),
    formatPrometheus: () =>
      `${[
        ...TYPE_LINES,
        ...[...seriesByKey.values()].flatMap(formatSeries),
        ...formatSpoiledAnswers(),
      ].join('\n')}\n`,
  };
}
