/**
 * Defines the request metrics that VMs send to each other, and merges them into the report on error budget burn rates.
 */
import { Schema } from 'effect';
import type { Either } from 'purify-ts';
import {
  addCounts,
  BURN_WINDOWS,
  type BurnCounts,
  BURNING_THRESHOLD,
  DEFAULT_OBJECTIVE,
  computeBurnRate,
  getMainMissReason,
  MissReason,
  ZERO_COUNTS,
} from '../state/burn.js';
import type { Diagnostic } from '../state/diagnostics.js';
import type { Objective } from '../state/types.js';
import { decodeJson } from './json.js';

const MissedSchema = Schema.Struct({
  [MissReason.FirstToken]: Schema.optionalKey(Schema.Number),
  [MissReason.TokenGap]: Schema.optionalKey(Schema.Number),
  [MissReason.Refused]: Schema.optionalKey(Schema.Number),
  [MissReason.Broken]: Schema.optionalKey(Schema.Number),
});

const SeriesSchema = Schema.Struct({
  workspace: Schema.String,
  target: Schema.String,
  /** Request counts of each window, in the order of `BURN_WINDOWS`. */
  windows: Schema.Array(Schema.Struct({ good: Schema.Number, missed: MissedSchema })),
  /** Compressed histogram of the times to first token on this VM. */
  firstTokenMs: Schema.String,
});

const MeasuresSchema = Schema.Struct({ series: Schema.Array(SeriesSchema) });

/** The request metrics of one VM. */
export type Measures = typeof MeasuresSchema.Type;
/** The request metrics of one workspace and target on one VM. */
export type MeasuredSeries = Measures['series'][number];

/** Decodes the request metrics of a VM. */
export function decodeMeasures(text: string): Either<Diagnostic, Measures> {
  return decodeJson(MeasuresSchema, text);
}

const ReportSchema = Schema.Struct({
  /** Number of VMs whose metrics are in the report. */
  vmsHeard: Schema.Number,
  /** VMs that did not answer. */
  vmsSilent: Schema.Array(Schema.String),
  rows: Schema.Array(
    Schema.Struct({
      workspace: Schema.String,
      target: Schema.String,
      window: Schema.String,
      requests: Schema.Number,
      missed: Schema.Number,
      burn: Schema.Number,
      isBurning: Schema.Boolean,
      mainReason: Schema.NullOr(Schema.String),
      firstTokenP95Ms: Schema.Number,
    }),
  ),
});

/** The report on error budget burn rates. */
export type BurnReport = typeof ReportSchema.Type;
/** The burn rate of one workspace and target over one window. */
export type BurnRow = BurnReport['rows'][number];

/** Decodes a burn rate report. */
export function decodeBurnReport(text: string): Either<Diagnostic, BurnReport> {
  return decodeJson(ReportSchema, text);
}

/** Merges compressed histograms of several VMs and returns the 95th percentile. */
export type MergePercentile = (encoded: readonly string[]) => number;

/** The series of one workspace and target on all VMs. */
interface SeriesGroup {
  readonly workspace: string;
  readonly target: string;
  readonly vmSeries: MeasuredSeries[];
}

function groupSeries(measures: readonly Measures[]): SeriesGroup[] {
  const groups = new Map<string, SeriesGroup>();
  measures
    .flatMap(({ series }) => series)
    .forEach((series) => {
      const { target, workspace } = series;
      const key = JSON.stringify([workspace, target]);
      const group = groups.get(key) ?? { workspace, target, vmSeries: [] };
      group.vmSeries.push(series);
      groups.set(key, group);
    });
  return [...groups.values()];
}

function sumWindow(group: SeriesGroup, index: number): BurnCounts {
  return group.vmSeries.reduce<BurnCounts>(
    (sum, { windows }) => addCounts(sum, windows[index] ?? ZERO_COUNTS),
    ZERO_COUNTS,
  );
}

function createRows(
  group: SeriesGroup,
  objective: Objective,
  mergePercentile: MergePercentile,
): BurnRow[] {
  const { vmSeries, target, workspace } = group;
  const firstTokenP95Ms = mergePercentile(vmSeries.map(({ firstTokenMs }) => firstTokenMs));
  return BURN_WINDOWS.map(({ name }, index) => {
    const counts = sumWindow(group, index);
    const burn = computeBurnRate(counts, objective);
    const missed = Object.values(counts.missed).reduce((sum, count) => sum + count, 0);
    return {
      workspace,
      target,
      window: name,
      requests: counts.good + missed,
      missed,
      burn,
      isBurning: burn > BURNING_THRESHOLD,
      mainReason: getMainMissReason(counts),
      firstTokenP95Ms,
    };
  });
}

/** Merges the metrics of several VMs into a report whose rows are sorted by descending burn rate. */
export function createBurnReport(
  measures: readonly Measures[],
  vmsSilent: readonly string[],
  objectives: ReadonlyMap<string, Objective>,
  mergePercentile: MergePercentile,
): BurnReport {
  const rows = groupSeries(measures).flatMap((group) =>
    createRows(group, objectives.get(group.workspace) ?? DEFAULT_OBJECTIVE, mergePercentile),
  );
  return {
    vmsHeard: measures.length,
    vmsSilent,
    rows: rows.toSorted((a, b) => b.burn - a.burn || a.workspace.localeCompare(b.workspace)),
  };
}

/** Formats a report as text for operators. */
export function formatBurnReport({ rows, vmsHeard, vmsSilent }: BurnReport): string {
  const silentText = vmsSilent.length === 0 ? '' : `; silent: ${vmsSilent.join(', ')}`;
  const lines = rows.map((row) => {
    const state = row.isBurning ? `BURNING, mostly ${row.mainReason}` : 'within the objective';
    const counts = `${row.missed} of ${row.requests} missed`;
    const times = `first token p95 ${Math.round(row.firstTokenP95Ms)} ms`;
    const name = `${row.workspace} / ${row.target} (${row.window})`;
    return `${name}: burn ${row.burn.toFixed(2)}, ${counts}, ${times}, ${state}`;
  });
  return [`Measures of ${vmsHeard} VMs${silentText}.`, ...lines].join('\n');
}
