/**
 * Watches the VMs of a soak from outside: which versions their status showed.
 */
import { wait } from '../stand-ins/entryVms.js';
import type { EntryFleet, SoakVm } from './entryFleet.js';

const STATUS_POLL_MS = 150;
const STATUS_TIMEOUT_MS = 1_000;
/** Facts of the status that never fall within the life of a process. */
const RISING_FACTS = ['configuration_version', 'configuration_revision', 'backends_revision'];

/** What was seen of the VMs. */
export interface EntryWatch {
  /** Facts that have fallen, as text. */
  readonly fallen: readonly string[];
  readonly stop: () => Promise<void>;
}

/** Compares numbers and revisions such as `1.204`; a fact that is not known yet comes first. */
function isLess(left: string, right: string): boolean {
  const [leftParts, rightParts] = [left, right].map((text) =>
    text === '-' ? [] : text.split('.').map(Number),
  ) as [number[], number[]];
  const index = rightParts.findIndex((part, i) => part !== leftParts[i]);
  return index >= 0 && (leftParts[index] ?? -1) < rightParts[index]!;
}

async function readStatus({ metricsAddress }: SoakVm): Promise<ReadonlyMap<string, string> | null> {
  try {
    const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
    const text = await (await fetch(`http://${metricsAddress}/status`, { signal })).text();
    return new Map(text.split('\n').map((line) => line.split(' ') as [string, string]));
  } catch {
    return null;
  }
}

/** Starts to watch the VMs of a fleet. */
export function watchEntryFleet({ vms }: EntryFleet): EntryWatch {
  const fallen: string[] = [];
  let isOver = false;

  const watchStatus = async (
    vm: SoakVm,
    known: ReadonlyMap<string, string> = new Map(),
    knownStartMs = Number.NEGATIVE_INFINITY,
  ): Promise<void> => {
    if (isOver) {
      return;
    }
    const read = await readStatus(vm);
    const startedAtMs = performance.now() - Number(read?.get('up_ms'));
    const incarnation = read?.get('incarnation');
    // Two lives may begin within the accuracy of their starts. Earlier versions do not tell more of themselves.
    const isSameLife =
      incarnation === undefined
        ? Math.abs(startedAtMs - knownStartMs) < STATUS_TIMEOUT_MS
        : incarnation === known.get('incarnation');
    if (read !== null && isSameLife) {
      RISING_FACTS.filter((name) => isLess(read.get(name)!, known.get(name)!)).forEach((name) =>
        fallen.push(`${vm.name}: ${name} fell from ${known.get(name)} to ${read.get(name)}`),
      );
    }
    await wait(STATUS_POLL_MS);
    await watchStatus(vm, read ?? known, read === null ? knownStartMs : startedAtMs);
  };
  const watches = vms.map((vm) => watchStatus(vm));
  return {
    fallen,
    stop: async () => {
      isOver = true;
      await Promise.all(watches);
    },
  };
}
