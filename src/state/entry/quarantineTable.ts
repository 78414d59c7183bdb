/**
 * The quarantines of prompt parts and requests: which requests they apply to, how those of several VMs are merged, and
 * how they end.
 */
import { CAUSE_RULES, getCauseKind } from './crashCauses.js';
import {
  containsAll,
  type CrashReport,
  findSuspects,
  getHealthyMs,
  isCause,
  MAX_PARTS_OF_SUSPECT,
  type CrashEvidence,
  type Quarantine,
  QuarantineStatus,
  trimOldest,
} from './crashEvidence.js';

/** Number of quarantines that are kept; the oldest are dropped. */
export const MAX_QUARANTINES = 256;

/** Crashes that are further apart than this are not related to each other. */
const CRASH_MEMORY_MS = 600_000;

/** Shortest and longest time after the last crash until one request may test whether the cause has gone. */
const MIN_TRIAL_DELAY_MS = 60_000;
const MAX_TRIAL_DELAY_MS = 1_800_000;

/** A quarantine without a crash for this time is forgotten. */
const QUARANTINE_MEMORY_MS = 3_600_000;

/** Returns the key under which a quarantine is stored. */
export function getQuarantineKey({
  causes,
  service,
}: Pick<Quarantine, 'causes' | 'service'>): string {
  return `${service} ${causes.join('+')}`;
}

/** Returns whether a request with the causes of a quarantine was a suspect of a crash. */
export function isExplainedBy(crash: CrashReport, quarantine: Quarantine): boolean {
  return crash.service === quarantine.service && findSuspects(crash, quarantine.causes).length > 0;
}

/** Returns the quarantines in force. */
export function listHeld({ quarantines }: CrashEvidence): Quarantine[] {
  return [...quarantines.values()].filter(({ status }) => status === QuarantineStatus.Held);
}

/** Returns the number of quarantines in force. */
export function countHeldQuarantines(evidence: CrashEvidence): number {
  return listHeld(evidence).length;
}

/** Finds the quarantine that applies to a request; undefined if there is none. */
export function findQuarantine(
  evidence: CrashEvidence,
  service: string,
  causes: readonly string[],
): Quarantine | undefined {
  return listHeld(evidence).find(
    (quarantine) => quarantine.service === service && containsAll(causes, quarantine.causes),
  );
}

/** Adds or replaces a quarantine. */
export function setQuarantine({ quarantines }: CrashEvidence, quarantine: Quarantine): void {
  quarantines.set(getQuarantineKey(quarantine), quarantine);
  trimOldest(quarantines, MAX_QUARANTINES);
}

/** Adds crashes after the start of a quarantine to it, so that its next trial is put off. */
export function extendQuarantines(evidence: CrashEvidence): void {
  listHeld(evidence).forEach((quarantine) => {
    const later = [...evidence.crashes.values()].filter(
      (crash) => crash.atMs > quarantine.lastCrashAtMs && isExplainedBy(crash, quarantine),
    );
    if (later.length > 0) {
      setQuarantine(evidence, {
        ...quarantine,
        lastCrashAtMs: Math.max(...later.map(({ atMs }) => atMs)),
        crashCount: quarantine.crashCount + later.length,
      });
    }
  });
}

/** Ends a quarantine, for instance because a request with its causes was answered. */
export function releaseQuarantine(evidence: CrashEvidence, quarantine: Quarantine): void {
  setQuarantine(evidence, { ...quarantine, status: QuarantineStatus.Released });
  [...evidence.crashes.entries()]
    .filter(([, crash]) => isExplainedBy(crash, quarantine))
    .forEach(([key]) => evidence.crashes.delete(key));
}

/**
 * Returns whether the only cause of a quarantine has been healthy since the first crash that it is blamed for, or so shortly
 * before it that it is no suspect.
 */
export function isRefuted(
  evidence: CrashEvidence,
  { causes, firstCrashAtMs, service }: Quarantine,
): boolean {
  const [cause = ''] = causes;
  return (
    causes.length === 1 &&
    getHealthyMs(evidence, service, cause) >
      firstCrashAtMs - CAUSE_RULES[getCauseKind(cause)].healthMemoryMs
  );
}

/** Returns whether a quarantine replaces the known one: it is of a later episode, or ends the same one. */
export function isLaterQuarantine(quarantine: Quarantine, known: Quarantine | undefined): boolean {
  if (known === undefined || quarantine.episode !== known.episode) {
    return known === undefined || quarantine.episode > known.episode;
  }
  const isStatusChanged = quarantine.status !== known.status;
  return isStatusChanged
    ? quarantine.status === QuarantineStatus.Released
    : quarantine.crashCount > known.crashCount;
}

/** Merges a quarantine of another VM or of the store. Returns false if it changes nothing. */
export function mergeQuarantine(evidence: CrashEvidence, quarantine: Quarantine): boolean {
  const { causes } = quarantine;
  const isValid =
    causes.length > 0 && causes.length <= MAX_PARTS_OF_SUSPECT && causes.every(isCause);
  const known = evidence.quarantines.get(getQuarantineKey(quarantine));
  if (!isValid || !isLaterQuarantine(quarantine, known)) {
    return false;
  }
  if (quarantine.status === QuarantineStatus.Released) {
    releaseQuarantine(evidence, quarantine);
  } else {
    setQuarantine(evidence, quarantine);
  }
  return true;
}

/**
 * Returns the time from which one request with the causes may test whether they still crash servers. The longer they have
 * done so, the later it is, so that the time doubles with each failed test.
 */
export function getTrialAtMs({ firstCrashAtMs, lastCrashAtMs }: Quarantine): number {
  const crashingMs = lastCrashAtMs - firstCrashAtMs;
  return lastCrashAtMs + Math.min(MAX_TRIAL_DELAY_MS, Math.max(MIN_TRIAL_DELAY_MS, crashingMs));
}

/** Removes evidence that no longer counts. */
export function expireEvidence(evidence: CrashEvidence, nowMs: number): void {
  [...evidence.crashes.entries()]
    .filter(([, { atMs }]) => nowMs - atMs > CRASH_MEMORY_MS)
    .forEach(([key]) => evidence.crashes.delete(key));
  [...evidence.quarantines.entries()]
    .filter(([, { lastCrashAtMs }]) => nowMs - lastCrashAtMs > QUARANTINE_MEMORY_MS)
    .forEach(([key]) => evidence.quarantines.delete(key));
}
