/**
 * Measures the time that the event loop spends on each kind of event and command, and on what connections bring, so that a late
 * loop can be traced to its cause.
 */
import type { Socket } from 'node:net';

const MS_PER_SECOND = 1_000;
/** Number of kinds that a line about a late loop names. */
const MAX_REPORTED_KINDS = 4;

/** Kinds of work besides those of events and commands: parsing what has arrived, and handling it until that posts an event. */
export const ReadingWork = {
  Answers: 'readAnswers',
  Requests: 'readRequests',
} as const;
export type ReadingWork = (typeof ReadingWork)[keyof typeof ReadingWork];

/** Sums of working time by kind of work. */
export interface LoopWorkMeter {
  /** Runs some work and adds the time that it takes to its kind. */
  readonly measure: <T>(kind: string, work: () => T) => T;
  /** Starts some work, and returns the function that adds the time since then to its kind. */
  readonly start: (kind: string) => () => void;
  /** Returns the kinds that took the most time since the last call, as `kind=milliseconds`. */
  readonly takeBusiest: () => string;
  /** Formats the sums since the start in the Prometheus text format, in seconds. */
  readonly formatPrometheus: () => string;
}

/** Creates a meter without any work. */
export function createLoopWorkMeter(readClockMs: () => number): LoopWorkMeter {
  const totalsMs = new Map<string, number>();
  let reportedMs = new Map<string, number>();
  const start = (kind: string): (() => void) => {
    const startedAtMs = readClockMs();
    return () => {
      totalsMs.set(kind, (totalsMs.get(kind) ?? 0) + readClockMs() - startedAtMs);
    };
  };
  return {
    start,
    measure: (kind, work) => {
      const end = start(kind);
      try {
        return work();
      } finally {
        end();
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

/**
 * Measures the handling of what a connection brings by all listeners that it has now. Returns the function that ends this.
 */
export function measureReading(
  socket: Socket,
  kind: ReadingWork,
  meter: Pick<LoopWorkMeter, 'start'>,
): () => void {
  let end = (): void => {};
  const begin = (): void => {
    end = meter.start(kind);
  };
  const finish = (): void => end();
  socket.prependListener('data', begin);
  socket.on('data', finish);
  return () => {
    socket.off('data', begin);
    socket.off('data', finish);
  };
}
