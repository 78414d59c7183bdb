/**
 * Tests the burn rate of service-level objectives: its time windows, the miss reasons and the merged report of
 * several VMs.
 */
import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import { describe, expect, it } from 'vitest';
import {
  createBurnReport,
  formatBurnReport,
  type Measures,
} from '../../src/protocol/burnMessages.js';
import {
  BURN_WINDOWS,
  countRequest,
  createBurnSeries,
  computeBurnRate,
  getMainMissReason,
  getWindowCounts,
  MissReason,
} from '../../src/state/burn.js';
import { getMergedP95 } from '../../src/transport/metrics.js';

const OBJECTIVE = { firstTokenMs: 910, tokenGapMs: 45, goodPart: 0.9 };
const MINUTE_MS = 60_000;

interface WindowCase {
  readonly name: string;
  /** For each request, the minute at which it ended and whether it missed its objective. */
  readonly requests: readonly (readonly [minute: number, missed: boolean])[];
  readonly nowMinute: number;
  readonly windowMinutes: number;
  readonly burn: number;
}

const WINDOW_CASES: readonly WindowCase[] = [
  { name: 'no requests', requests: [], nowMinute: 0, windowMinutes: 5, burn: 0 },
  {
    name: 'only good requests',
    requests: [
      [0, false],
      [1, false],
    ],
    nowMinute: 2,
    windowMinutes: 5,
    burn: 0,
  },
  {
    name: 'half of the requests missed where one in ten may miss',
    requests: [
      [0, true],
      [1, false],
    ],
    nowMinute: 2,
    windowMinutes: 5,
    burn: 5,
  },
  {
    name: 'a missed request older than the window',
    requests: [
      [0, true],
      [9, false],
    ],
    nowMinute: 10,
    windowMinutes: 5,
    burn: 0,
  },
];

describe('a burn series', () => {
  it.each(WINDOW_CASES)(
    'has a burn rate of $burn with $name',
    ({ burn, nowMinute, requests, windowMinutes }) => {
      const series = createBurnSeries();
      requests.forEach(([minute, missed]) => {
        countRequest(series, missed ? MissReason.Broken : null, minute * MINUTE_MS);
      });
      const windowMs = windowMinutes * MINUTE_MS;
      const counts = getWindowCounts(series, windowMs, nowMinute * MINUTE_MS);
      expect(computeBurnRate(counts, OBJECTIVE)).toBeCloseTo(burn);
    },
  );

  it('reports the most frequent miss reason', () => {
    const counts = { good: 1, missed: { refused: 2, firstToken: 3 } };
    expect(getMainMissReason(counts)).toBe(MissReason.FirstToken);
  });

  it('keeps no more buckets than the longest window spans', () => {
    const series = createBurnSeries();
    for (let minute = 0; minute < 1_000; minute += 1) {
      countRequest(series, null, minute * MINUTE_MS);
    }
    expect(series.buckets.length).toBeLessThanOrEqual(720);
  });
});

function createMeasures(good: number, missed: number, firstTokenMs: number): Measures {
  const histogram = build();
  histogram.recordValue(firstTokenMs);
  const windows = BURN_WINDOWS.map(() => ({ good, missed: { firstToken: missed } }));
  const encodedHistogram = encodeIntoCompressedBase64(histogram);
  return {
    series: [{ workspace: 'mill', target: 'quotation', windows, firstTokenMs: encodedHistogram }],
  };
}

describe('the burn report', () => {
  it('merges the counts and times of all VMs and lists the VMs that did not respond', () => {
    const measures = [createMeasures(9, 1, 100), createMeasures(6, 4, 2_000)];
    const objectives = new Map([['mill', OBJECTIVE]]);
    const report = createBurnReport(measures, ['vm-9'], objectives, getMergedP95);
    const [row] = report.rows;
    expect(row).toMatchObject({ requests: 20, missed: 5, isBurning: true });
    expect(row?.burn).toBeCloseTo(2.5);
    expect(row?.firstTokenP95Ms).toBeGreaterThanOrEqual(2_000);
    expect(formatBurnReport(report)).toContain('Measures of 2 VMs; silent: vm-9.');
    expect(formatBurnReport(report)).toContain('BURNING, mostly firstToken');
  });
});
