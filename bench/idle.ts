/**
 * Measures the processor time, memory and store calls of an idle daemon, in fleets with different numbers
 * of daemons and engines. The results are the slopes in docs/CAPACITY.md.
 */
import { readFileSync } from 'node:fs';
import { type Fleet, type FleetPlan, getJson, startFleet } from '../tests/stand-ins/fleet.js';
import { createSmallFleetPlan } from '../tests/stand-ins/fleetPlans.js';
import { printFigure } from './figures.js';

const MEASUREMENT_MS = 15_000;
/** Linux reports processor time in /proc in ticks of 10 ms. */
const CPU_TICKS_PER_SECOND = 100;
const KB_PER_MB = 1_024;

/** Total numbers of calls that the store stand-in has served. */
interface StoreCounts {
  readonly reads: number;
  readonly writes: number;
}

const FLEET_SIZES = [
  { daemons: 4, engines: 4 },
  { daemons: 8, engines: 4 },
  { daemons: 16, engines: 4 },
  { daemons: 4, engines: 16 },
];

function createPlan(daemons: number, engines: number): FleetPlan {
  const plan = createSmallFleetPlan();
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

/** Returns the user and system time that a process has used, in milliseconds. */
function readCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return ((Number(fields[11]) + Number(fields[12])) * 1_000) / CPU_TICKS_PER_SECOND;
}

function readResidentMemoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
}

function getDaemonPids(fleet: Fleet): number[] {
  return fleet.daemons.map((daemon) => daemon.process.child.pid!);
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

async function measureFleet(daemons: number, engines: number): Promise<void> {
  const fleet = await startFleet(createPlan(daemons, engines));
  const name = `${daemons}_vms_${engines}_engines`;
  await new Promise((resolve) => {
    setTimeout(resolve, MEASUREMENT_MS / 3);
  });
  const cpuBefore = getDaemonPids(fleet).map(readCpuMs);
  const countsBefore = await getJson<StoreCounts>(`${fleet.storeUrl}/counts`);
  await new Promise((resolve) => {
    setTimeout(resolve, MEASUREMENT_MS);
  });
  const cpuMs = getDaemonPids(fleet).map((pid, i) => readCpuMs(pid) - cpuBefore[i]!);
  const countsAfter = await getJson<StoreCounts>(`${fleet.storeUrl}/counts`);
  const seconds = MEASUREMENT_MS / 1_000;
  printFigure(
    `idle_core_part_${name}`,
    (computeMean(cpuMs) / MEASUREMENT_MS) * 100,
    '% of a core',
    1.3,
  );
  printFigure(
    `idle_memory_${name}`,
    computeMean(getDaemonPids(fleet).map(readResidentMemoryMb)),
    'MB',
    128,
  );
  const reads = (countsAfter.reads - countsBefore.reads) / seconds / daemons;
  const writes = (countsAfter.writes - countsBefore.writes) / seconds / daemons;
  printFigure(`store_reads_a_vm_${name}`, reads, 'calls/s');
  printFigure(`store_writes_a_vm_${name}`, writes, 'calls/s');
  await fleet.stop();
}

/** Prints the idle cost of a daemon for each fleet size. */
export async function runIdle(): Promise<void> {
  for (const { daemons, engines } of FLEET_SIZES) {
    await measureFleet(daemons, engines);
  }
}
