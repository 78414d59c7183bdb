/**
 * Warns when the process has nearly as much memory as it may: the platform kills a process that has more, and Node.js ends one
 * whose heap has reached its limit, both without a log line.
 */
import { getHeapStatistics } from 'node:v8';
import type { LogFields } from '../../../coordination/entry/commands.js';

const BYTES_PER_MB = 1_048_576;
const CHECK_INTERVAL_MS = 500;
const MIN_REPORT_INTERVAL_MS = 5_000;
/** Fraction of a limit from which on it is reported. */
const REPORTED_FRACTION = 0.85;

/** The memory of a process, in bytes. */
export interface MemoryUsage {
  readonly residentBytes: number;
  readonly heapBytes: number;
  readonly maxHeapBytes: number;
  /** Buffers outside the heap, also those that are no longer used and not yet collected. */
  readonly bufferBytes: number;
}

/** What a monitor reads and calls. */
export interface MemoryMonitorOptions {
  readonly maxBytes: number;
  /** May throw, for instance while the process has no descriptors left. */
  readonly readUsage: () => MemoryUsage;
  readonly getNowMs: () => number;
  readonly onHigh: (fields: LogFields) => void;
}

/** Checks the memory of a process periodically. */
export interface MemoryMonitor {
  readonly check: () => void;
  readonly close: () => void;
}

/** Reads the memory of this process. */
export function readMemoryUsage(): MemoryUsage {
  const { arrayBuffers, heapUsed, rss } = process.memoryUsage();
  const { heap_size_limit: maxHeapBytes } = getHeapStatistics();
  return { residentBytes: rss, heapBytes: heapUsed, maxHeapBytes, bufferBytes: arrayBuffers };
}

function toMb(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MB);
}

/** Starts the periodic check. `onHigh` is called at most once in some seconds. */
export function createMemoryMonitor(options: MemoryMonitorOptions): MemoryMonitor {
  const { getNowMs, maxBytes, onHigh, readUsage } = options;
  let reportedAtMs = Number.NEGATIVE_INFINITY;
  const check = (): void => {
    if (getNowMs() - reportedAtMs < MIN_REPORT_INTERVAL_MS) {
      return;
    }
    const { bufferBytes, heapBytes, maxHeapBytes, residentBytes } = readUsage();
    const isHigh =
      residentBytes >= maxBytes * REPORTED_FRACTION ||
      heapBytes >= maxHeapBytes * REPORTED_FRACTION;
    if (isHigh) {
      reportedAtMs = getNowMs();
      onHigh({
        residentMb: toMb(residentBytes),
        maxMb: toMb(maxBytes),
        heapMb: toMb(heapBytes),
        maxHeapMb: toMb(maxHeapBytes),
        buffersMb: toMb(bufferBytes),
      });
    }
  };
  const timer = setInterval(() => {
    try {
      check();
    } catch {
      // It is read again at the next check.
    }
  }, CHECK_INTERVAL_MS);
  timer.unref();
  return { check, close: () => clearInterval(timer) };
}
