/**
 * What control costs a daemon that serves nothing: processor time, memory and store calls, for fleets of
 * several sizes and numbers of engines. The slopes go into docs/CAPACITY.md.
 */
import { readFileSync } from 'node:fs';
import { type Fleet, type FleetPlan, getJson, startFleet } from '../tests/stand-ins/fleet.js';
import { createSmallPlan } from '../tests/stand-ins/plans.js';
import { printFigure } from './figures.js';

const MEASURE_MS = 15_000;
const TICKS_PER_SECOND = 100;
const KB_PER_MB = 1_024;

interface StoreCounts {
  readonly reads: number;
  readonly writes: number;
}

const SIZES = [
  { daemons: 4, engines: 4 },
  { daemons: 8, engines: 4 },
  { daemons: 16, engines: 4 },
  { daemons: 4, engines: 16 },
];

function createPlan(daemons: number, engines: number): FleetPlan {
  const plan = createSmallPlan();
  const [engine] = plan.engines;
  return {
    ...plan,
    daemons: Array.from({ length: daemons }, (_, i) => (i % 2 === 0 ? 'fd-a' : 'fd-b')),
    engines: Array.from({ length: engines }, (_, i) => ({
      ...engine!,
      name: `engine-${i}`,
      failureDomain: i % 2 === 0 ? 'fd-a' : 'fd-b',
    })),
  };
}

/** Returns the processor time that a process has used, in milliseconds. */
function getCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return ((Number(fields[11]) + Number(fields[12])) * 1_000) / TICKS_PER_SECOND;
}

function getMemoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
}

function getPids(fleet: Fleet): number[] {
  return fleet.daemons.map((daemon) => daemon.process.child.pid!);
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

async function measureSize(daemons: number, engines: number): Promise<void> {
  const fleet = await startFleet(createPlan(daemons, engines));
  const name = `${daemons}_vms_${engines}_engines`;
  await new Promise((resolve) => {
    setTimeout(resolve, MEASURE_MS / 3);
  });
  const cpuBefore = getPids(fleet).map(getCpuMs);
  const before = await getJson<StoreCounts>(`${fleet.storeUrl}/counts`);
  await new Promise((resolve) => {
    setTimeout(resolve, MEASURE_MS);
  });
  const cpuMs = getPids(fleet).map((pid, i) => getCpuMs(pid) - cpuBefore[i]!);
  const after = await getJson<StoreCounts>(`${fleet.storeUrl}/counts`);
  const seconds = MEASURE_MS / 1_000;
  printFigure(`idle_core_part_${name}`, (getMean(cpuMs) / MEASURE_MS) * 100, '% of a core', 1.3);
  printFigure(`idle_memory_${name}`, getMean(getPids(fleet).map(getMemoryMb)), 'MB', 128);
  const reads = (after.reads - before.reads) / seconds / daemons;
  const writes = (after.writes - before.writes) / seconds / daemons;
  printFigure(`store_reads_a_vm_${name}`, reads, 'calls/s');
  printFigure(`store_writes_a_vm_${name}`, writes, 'calls/s');
  await fleet.stop();
}

/** Prints the cost of each size. */
export async function runIdle(): Promise<void> {
  for (const { daemons, engines } of SIZES) {
    await measureSize(daemons, engines);
  }
}
