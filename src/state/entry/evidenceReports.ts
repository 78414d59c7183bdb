/**
 * What VMs tell each other of backend servers: evidence on crashes, quarantines, request limits, and which are leaving or brittle.
 */
import {
  type CrashReport,
  getHealthyMs,
  getCauseKey,
  HEALTH_MEMORY_MS,
  type HealthyCause,
  listSuspectCauses,
  type CrashEvidence,
  type Quarantine,
} from './crashEvidence.js';

const MAX_SHARED_HEALTHY_CAUSES = 128;

/** Later than this after a crash, VMs that have not heard of it need only know the quarantines. */
const CRASH_SHARING_MS = 3_000;

function listSharedCrashes({ crashes }: CrashEvidence, nowMs: number): CrashReport[] {
  return [...crashes.values()].filter(({ atMs }) => nowMs - atMs < CRASH_SHARING_MS);
}

/** Lists the causes that are suspects of several crashes and were healthy recently, for VMs that have not seen that. */
function listHealthySuspects(evidence: CrashEvidence, nowMs: number): HealthyCause[] {
  const crashCounts = new Map<string, HealthyCause & { readonly crashCount: number }>();
  listSharedCrashes(evidence, nowMs).forEach((crash) => {
    const { service } = crash;
    listSuspectCauses(crash).forEach((cause) => {
      const key = getCauseKey(service, cause);
      const atMs = getHealthyMs(evidence, service, cause);
      const crashCount = (crashCounts.get(key)?.crashCount ?? 0) + 1;
      crashCounts.set(key, { service, cause, atMs, crashCount });
    });
  });
  return [...crashCounts.values()]
    .filter(({ atMs, crashCount }) => crashCount > 1 && nowMs - atMs < HEALTH_MEMORY_MS)
    .slice(0, MAX_SHARED_HEALTHY_CAUSES)
    .map(({ atMs, cause, service }) => ({ service, cause, atMs }));
}

/** Evidence on prompts, for other VMs or from one of them. */
export interface CrashEvidenceReport {
  readonly crashes: readonly CrashReport[];
  readonly healthyCauses: readonly HealthyCause[];
  readonly quarantines: readonly Quarantine[];
}

/** What answers of a server have stated of its request limit. */
export interface LimitReport {
  readonly serverId: string;
  readonly bornAtWallMs: number;
  /** Null if the limit has ended. */
  readonly requestsPerSecond: number | null;
  readonly version: number;
}

/** What answers of a server have stated of the rejections that it bears. */
export interface BrittleReport {
  readonly serverId: string;
  readonly bornAtWallMs: number;
  /** Null if the server is no longer brittle. */
  readonly maxRejectionsPerSecond: number | null;
  readonly version: number;
  /** Time until which the server counts as full after a rejection for want of room; null if it does not. */
  readonly fullUntilMs: number | null;
}

/** A server that is leaving. */
export interface LeavingReport {
  readonly serverId: string;
  readonly bornAtWallMs: number;
}

/** What VMs tell each other of backend servers besides the evidence on crashes. */
export interface ServerReports {
  readonly limits: readonly LimitReport[];
  readonly leaving: readonly LeavingReport[];
  readonly brittle: readonly BrittleReport[];
}

/** All that VMs tell each other of backend servers. */
export interface EvidenceReport extends CrashEvidenceReport, ServerReports {}

/** Moves all times of a quarantine to a clock that is ahead by an offset. */
export function shiftQuarantine(quarantine: Quarantine, offsetMs: number): Quarantine {
  return {
    ...quarantine,
    firstCrashAtMs: quarantine.firstCrashAtMs + offsetMs,
    lastCrashAtMs: quarantine.lastCrashAtMs + offsetMs,
  };
}

/** Moves all times of a report to a clock that is ahead by an offset. */
export function shiftEvidenceReport(report: EvidenceReport, offsetMs: number): EvidenceReport {
  const shift = <T extends { readonly atMs: number }>(item: T): T => ({
    ...item,
    atMs: item.atMs + offsetMs,
  });
  return {
    crashes: report.crashes.map(shift),
    healthyCauses: report.healthyCauses.map(shift),
    quarantines: report.quarantines.map((quarantine) => shiftQuarantine(quarantine, offsetMs)),
    limits: report.limits,
    leaving: report.leaving,
    brittle: report.brittle.map(({ fullUntilMs, ...brittle }) => ({
      ...brittle,
      fullUntilMs: fullUntilMs === null ? null : fullUntilMs + offsetMs,
    })),
  };
}

/** Returns all quarantines, with times relative to now. */
export function createRelativeQuarantines(
  { quarantines }: CrashEvidence,
  nowMs: number,
): Quarantine[] {
  return [...quarantines.values()].map((quarantine) => shiftQuarantine(quarantine, -nowMs));
}

/** Returns the evidence that other VMs may lack, with times on this VM's clock. */
export function createEvidenceReport(
  evidence: CrashEvidence,
  servers: ServerReports,
  nowMs: number,
): EvidenceReport {
  return {
    ...servers,
    crashes: listSharedCrashes(evidence, nowMs),
    healthyCauses: listHealthySuspects(evidence, nowMs),
    quarantines: [...evidence.quarantines.values()],
  };
}
