/**
 * Tests the evidence on prompts: what the exchange of it between VMs changes, and the bounds of its size.
 */
import { describe, expect, it } from 'vitest';
import { addQuarantines } from '../../src/state/entry/crashAttribution.js';
import { createRequestCause } from '../../src/state/entry/crashCauses.js';
import {
  createEvidenceReport,
  shiftEvidenceReport,
} from '../../src/state/entry/evidenceReports.js';
import {
  type CrashReport,
  createCrashEvidence,
  mergeHealthyCauses,
  type CrashEvidence,
  recordCrash,
  recordHealthyCauses,
} from '../../src/state/entry/crashEvidence.js';
import { expireEvidence, findQuarantine } from '../../src/state/entry/quarantineTable.js';

const SERVICE = 'llm';
const MESSAGE_DELAY_MS = 8;

function createCrash(number: number, parts: readonly string[], atMs: number): CrashReport {
  const suspects = [{ parts: [...parts, `own-${number}`], requestCause: '', isAnswering: true }];
  const serverId = `e${number}`;
  return { serverId, bornAtWallMs: 1, service: SERVICE, address: serverId, atMs, suspects };
}

/** Lets two VMs exchange their evidence many times, each message with a delay. */
function exchange(a: CrashEvidence, b: CrashEvidence, fromMs: number, count: number): void {
  let nowMs = fromMs;
  for (let i = 0; i < count; i += 1) {
    const [sender, receiver] = i % 2 === 0 ? [a, b] : [b, a];
    const report = shiftEvidenceReport(
      createEvidenceReport(sender, { limits: [], leaving: [], brittle: [] }, nowMs),
      -nowMs,
    );
    nowMs += MESSAGE_DELAY_MS;
    mergeHealthyCauses(receiver, shiftEvidenceReport(report, nowMs).healthyCauses, nowMs);
  }
}

describe('the exchange of evidence', () => {
  it('does not make a part appear healthy later than it was', () => {
    const vms = [createCrashEvidence(), createCrashEvidence()] as const;
    vms.forEach((vm) => {
      recordHealthyCauses(vm, SERVICE, ['x'], 1_000);
      recordCrash(vm, createCrash(1, ['x', 'y'], 2_000));
      recordCrash(vm, createCrash(2, ['x', 'y'], 2_100));
    });
    exchange(vms[0], vms[1], 2_200, 300);
    const times = vms.flatMap(({ healthyAtMs }) =>
      Object.values(healthyAtMs).flatMap((timesMs) => [...timesMs.values()]),
    );
    expect(Math.max(...times)).toBe(1_000);
  });
});

const FLOODS = [
  {
    name: 'crashes',
    fill: (evidence: CrashEvidence, i: number) =>
      recordCrash(evidence, createCrash(i, [`p${i}`], i * 100)),
  },
  {
    name: 'suspects of one crash',
    fill: (evidence: CrashEvidence, i: number) =>
      recordCrash(evidence, {
        ...createCrash(0, ['a'], 0),
        suspects: [{ parts: [`p${i}`, `own-${i}`], requestCause: '', isAnswering: false }],
      }),
  },
  {
    name: 'healthy parts',
    fill: (evidence: CrashEvidence, i: number) =>
      recordHealthyCauses(evidence, SERVICE, [`p${i}`], i),
  },
  {
    name: 'healthy requests',
    fill: (evidence: CrashEvidence, i: number) =>
      recordHealthyCauses(evidence, SERVICE, [createRequestCause(`${i}`, null)], i),
  },
  {
    name: 'requests that crash servers',
    fill: (evidence: CrashEvidence, i: number) => {
      const suspect = { parts: [], requestCause: createRequestCause(`${i}`, null) };
      recordCrash(evidence, {
        ...createCrash(i, [], i * 100),
        suspects: [{ ...suspect, isAnswering: true }],
      });
    },
  },
  {
    name: 'parts of one prompt',
    fill: (evidence: CrashEvidence, i: number) =>
      recordCrash(
        evidence,
        createCrash(
          i,
          Array.from({ length: 500 }, (_, n) => `p${i}-${n}`),
          i,
        ),
      ),
  },
];

describe('the evidence of a VM', () => {
  it.each(FLOODS)('is bounded: $name', ({ fill }) => {
    const evidence = createCrashEvidence();
    Array.from({ length: 20_000 }, (_, i) => fill(evidence, i));
    const suspects = [...evidence.crashes.values()].flatMap((crash) => crash.suspects);
    expect(evidence.crashes.size).toBeLessThanOrEqual(64);
    expect(suspects.length).toBeLessThanOrEqual(4_096);
    expect(Math.max(0, ...suspects.map(({ parts }) => parts.length))).toBeLessThanOrEqual(16);
    Object.values(evidence.healthyAtMs).forEach((timesMs) =>
      expect(timesMs.size).toBeLessThanOrEqual(4_096),
    );
  });

  it('is forgotten after an hour without a crash', () => {
    const evidence = createCrashEvidence();
    [1, 2, 3].forEach((i) => recordCrash(evidence, createCrash(i, ['x'], i * 100)));
    addQuarantines(evidence);
    expect(findQuarantine(evidence, SERVICE, ['x'])).toBeDefined();
    expireEvidence(evidence, 3_700_000);
    expect([evidence.crashes.size, evidence.quarantines.size]).toEqual([0, 0]);
  });
});
