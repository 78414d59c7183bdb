/**
 * Measures of ended requests, by workspace and target, and their Prometheus text.
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
import type { Objective } from '../state/types.js';

const HIGHEST_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
const MS_PER_SECOND = 1000;
const QUANTILES = [0.5, 0.95, 0.99];

/** The measures of one workspace and target. */
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

/** The measures of a VM. */
export interface Metrics {
  readonly record: (measure: RequestMetrics, objective: Objective, nowMs: number) => void;
  /** Returns the counts and times of this VM, for a report over all VMs. */
  readonly getMeasures: (nowMs: number) => Measures;
  /** Writes the Prometheus text format. */
  readonly format: () => string;
}

function createHistogram(): Histogram {
  return build({
    highestTrackableValue: HIGHEST_MS,
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

function increase<K>(counts: Map<K, number>, key: K): void {
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

const HEADERS = [
  '# TYPE gentiandeck_requests_total counter',
  '# TYPE gentiandeck_refusals_total counter',
  '# TYPE gentiandeck_tokens_total counter',
  '# TYPE gentiandeck_first_token_seconds summary',
  '# TYPE gentiandeck_token_gap_seconds summary',
  '# TYPE gentiandeck_duration_seconds summary',
];

/** Refusals that the caller itself has to mend are not held against the service. */
const CALLER_REFUSALS: ReadonlySet<string> = new Set([
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

function isJudged({ diagnosticKey, outcome }: RequestMetrics): boolean {
  const isOwnFault = diagnosticKey !== null && CALLER_REFUSALS.has(diagnosticKey);
  return outcome !== RequestOutcome.Abandoned && !isOwnFault;
}

type MissFinder = (measure: RequestMetrics, objective: Objective) => MissReason | null;

function findLate(measure: RequestMetrics, objective: Objective): MissReason | null {
  if ((measure.firstTokenMs ?? 0) > objective.firstTokenMs) {
    return MissReason.FirstToken;
  }
  return measure.meanGapMs > objective.tokenGapMs ? MissReason.TokenGap : null;
}

const MISS_FINDERS: Readonly<Record<RequestOutcome, MissFinder>> = {
  [RequestOutcome.Completed]: findLate,
  [RequestOutcome.Refused]: () => MissReason.Refused,
  [RequestOutcome.Broken]: () => MissReason.Broken,
  [RequestOutcome.Abandoned]: () => null,
};

function findMiss(measure: RequestMetrics, objective: Objective): MissReason | null {
  return MISS_FINDERS[measure.outcome](measure, objective);
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

/** Merges compressed histograms of several VMs and returns their 95th percentile. */
export function mergePercentile(encoded: readonly string[]): number {
  const merged = createHistogram();
  encoded.forEach((text) => merged.add(decodeFromCompressedBase64(text)));
  return merged.totalCount === 0 ? 0 : merged.getValueAtPercentile(95);
}

/** Creates the measures of a VM. */
export function createMetrics(): Metrics {
  const all = new Map<string, Series>();

  const getSeries = ({ target, workspace }: RequestMetrics): Series => {
    const key = JSON.stringify([workspace, target]);
    const known = all.get(key);
    if (known !== undefined) {
      return known;
    }
    const series = createSeries(workspace, target);
    all.set(key, series);
    return series;
  };

  return {
    record: (measure, objective, nowMs) => {
      const series = getSeries(measure);
      increase(series.outcomes, measure.outcome);
      if (measure.diagnosticKey !== null) {
        increase(series.refusals, measure.diagnosticKey);
      }
      series.tokens += measure.tokens;
      series.durationMs.recordValue(measure.durationMs);
      if (measure.firstTokenMs !== null) {
        series.firstTokenMs.recordValue(measure.firstTokenMs);
        series.maxGapMs.recordValue(measure.maxGapMs);
      }
      if (isJudged(measure)) {
        countRequest(series.burn, findMiss(measure, objective), nowMs);
      }
    },
    getMeasures: (nowMs) => ({
      series: [...all.values()].map((series) => encodeSeries(series, nowMs)),
    }),
    format: () => `${[...HEADERS, ...[...all.values()].flatMap(formatSeries)].join('\n')}\n`,
  };
}
