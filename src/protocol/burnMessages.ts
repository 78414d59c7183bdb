/**
 * Measures as VMs send them to each other, and the merged report on service-level burn.
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
  /** Counts of each window, in the order of `BURN_WINDOWS`. */
  windows: Schema.Array(Schema.Struct({ good: Schema.Number, missed: MissedSchema })),
  /** First token times of this process, compressed. */
  firstTokenMs: Schema.String,
});

const MeasuresSchema = Schema.Struct({ series: Schema.Array(SeriesSchema) });

/** The measures of one VM. */
export type Measures = typeof MeasuresSchema.Type;
export type MeasuredSeries = Measures['series'][number];

/** Reads the measures of a VM. */
export function decodeMeasures(text: string): Either<Diagnostic, Measures> {
  return decodeJson(MeasuresSchema, text);
}

const ReportSchema = Schema.Struct({
  /** VMs whose measures are in the report, and those that did not answer. */
  vmsHeard: Schema.Number,
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

/** The report on service-level burn. */
export type BurnReport = typeof ReportSchema.Type;
export type BurnRow = BurnReport['rows'][number];

/** Reads a report. */
export function decodeBurnReport(text: string): Either<Diagnostic, BurnReport> {
  return decodeJson(ReportSchema, text);
}

/** Merges the compressed first token times of several VMs and returns their 95th percentile. */
export type MergePercentile = (encoded: readonly string[]) => number;

interface Group {
  readonly workspace: string;
  readonly target: string;
  readonly members: MeasuredSeries[];
}

function groupSeries(measures: readonly Measures[]): Group[] {
  const groups = new Map<string, Group>();
  measures
    .flatMap(({ series }) => series)
    .forEach((series) => {
      const { target, workspace } = series;
      const key = JSON.stringify([workspace, target]);
      const group = groups.get(key) ?? { workspace, target, members: [] };
      group.members.push(series);
      groups.set(key, group);
    });
  return [...groups.values()];
}

function sumWindow(group: Group, index: number): BurnCounts {
  return group.members.reduce<BurnCounts>(
    (sum, { windows }) => addCounts(sum, windows[index] ?? ZERO_COUNTS),
    ZERO_COUNTS,
  );
}

function createRows(group: Group, objective: Objective, merge: MergePercentile): BurnRow[] {
  const { members, target, workspace } = group;
  const firstTokenP95Ms = merge(members.map(({ firstTokenMs }) => firstTokenMs));
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

/** Merges the measures of several VMs; what burns most comes first. */
export function createBurnReport(
  measures: readonly Measures[],
  vmsSilent: readonly string[],
  objectives: ReadonlyMap<string, Objective>,
  merge: MergePercentile,
): BurnReport {
  const rows = groupSeries(measures).flatMap((group) =>
    createRows(group, objectives.get(group.workspace) ?? DEFAULT_OBJECTIVE, merge),
  );
  return {
    vmsHeard: measures.length,
    vmsSilent,
    rows: rows.toSorted((a, b) => b.burn - a.burn || a.workspace.localeCompare(b.workspace)),
  };
}

/** Writes a report for people. */
export function formatBurnReport({ rows, vmsHeard, vmsSilent }: BurnReport): string {
  const silent = vmsSilent.length === 0 ? '' : `; silent: ${vmsSilent.join(', ')}`;
  const lines = rows.map((row) => {
    const state = row.isBurning ? `BURNING, mostly ${row.mainReason}` : 'within the objective';
    const counts = `${row.missed} of ${row.requests} missed`;
    const times = `first token p95 ${Math.round(row.firstTokenP95Ms)} ms`;
    const name = `${row.workspace} / ${row.target} (${row.window})`;
    return `${name}: burn ${row.burn.toFixed(2)}, ${counts}, ${times}, ${state}`;
  });
  return [`Measures of ${vmsHeard} VMs${silent}.`, ...lines].join('\n');
}
