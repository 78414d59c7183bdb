/**
 * Measures the time that the event loop spends on each kind of event and command, so that a late loop can be traced to its
 * cause.
 */

const MS_PER_SECOND = 1_000;
/** Number of kinds that a line about a late loop names. */
const MAX_REPORTED_KINDS = 4;

/** Sums of working time by kind of event or command. */
export interface LoopWorkMeter {
  /** Runs some work and adds the time that it takes to its kind. */
  readonly measure: <T>(kind: string, work: () => T) => T;
  /** Returns the kinds that took the most time since the last call, as `kind=milliseconds`. */
  readonly takeBusiest: () => string;
  /** Formats the sums since the start in the Prometheus text format, in seconds. */
  readonly formatPrometheus: () => string;
}

/** Creates a meter without any work. */
export function createLoopWorkMeter(readClockMs: () => number): LoopWorkMeter {
  const totalsMs = new Map<string, number>();
  let reportedMs = new Map<string, number>();
  return {
    measure: (kind, work) => {
      const startedAtMs = readClockMs();
      try {
        return work();
      } finally {
        totalsMs.set(kind, (totalsMs.get(kind) ?? 0) + readClockMs() - startedAtMs);
      }
    },
    takeBusiest: () => {
      const busiest = [...totalsMs]
        .map(([kind, totalMs]) => ({ kind, workMs: totalMs - (reportedMs.get(kind) ?? 0) }))
        .filter(({ workMs }) => workMs > 0)
        .sort((a, b) => b.workMs - a.workMs)
        .slice(0, MAX_REPORTED_KINDS);
      reportedMs = new Map(totalsMs);
      return busiest.map(({ kind, workMs }) => `${kind}=${Math.round(workMs)}`).join(' ');
    },
    formatPrometheus: () => {
      const name = 'gentiandeck_loop_work_seconds_total';
      const lines = [...totalsMs].map(
        ([kind, totalMs]) => `${name}{kind="${kind}"} ${totalMs / MS_PER_SECOND}\n`,
      );
      return `# TYPE ${name} counter\n${lines.join('')}`;
    },
  };
}
