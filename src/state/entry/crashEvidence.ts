/**
 * Evidence on which prompt parts and which requests crash backend servers.
 *
 * A crash report names the requests that were at a server when it crashed and whose answers had not been running for
 * some time; each of them and of their prompt parts is a suspect. A cause under which an answer is produced is healthy,
 * which clears it of all earlier crashes.
 *
 * The functions are pure transitions of one table; all times are on the clock of the VM that owns the table.
 */
import type { BackendEntry } from './backends.js';
import { CAUSE_RULES, CauseKind, getCauseKind } from './crashCauses.js';

/** A request that was at a server when it crashed, and whose answer had not been running for some time. */
export interface Suspect {
  /** The last part belongs to the request alone, and tells it from others. Empty if none is a suspect. */
  readonly parts: readonly string[];
  /** Names the request by its content; empty if it is no suspect by itself. */
  readonly requestCause: string;
  /** True if the server had begun to answer the request, which makes it more likely to be the cause. */
  readonly isAnswering: boolean;
}

/** Whether this VM has connected to another server since it lost its connections to one. If not, the VM itself may be cut off. */
export const WitnessStatus = {
  /** Other servers are being probed. */
  Asked: 'asked',
  Found: 'found',
  None: 'none',
} as const;
export type WitnessStatus = (typeof WitnessStatus)[keyof typeof WitnessStatus];

/** Requests that lost their connections to one process of a backend server that is being probed. Mutable. */
export interface LostConnections {
  readonly entry: BackendEntry;
  readonly firstLostAtMs: number;
  readonly suspects: Suspect[];
  /** Whether its machine refuses connections; null until its probe has ended. */
  isRefused: boolean | null;
  witness: WitnessStatus;
  /** Keys of the probes of other servers that have not ended. */
  readonly askedKeys: Set<string>;
}

/** A crash of one process of a backend server. Reports of several VMs on the same process are merged. */
export interface CrashReport {
  readonly serverId: string;
  readonly bornAtWallMs: number;
  readonly service: string;
  readonly address: string;
  readonly atMs: number;
  readonly suspects: readonly Suspect[];
}

/** Whether requests with the causes of a quarantine are rejected. */
export const QuarantineStatus = { Held: 'held', Released: 'released' } as const;
export type QuarantineStatus = (typeof QuarantineStatus)[keyof typeof QuarantineStatus];

/** Causes whose joint occurrence in a request is blamed for crashes: prompt parts, or the request itself. */
export interface Quarantine {
  readonly service: string;
  /** Sorted. */
  readonly causes: readonly string[];
  /** Increases each time that the causes are quarantined again after a release. */
  readonly episode: number;
  readonly status: QuarantineStatus;
  /** Time of the first of the crashes that are the evidence. */
  readonly firstCrashAtMs: number;
  readonly lastCrashAtMs: number;
  readonly crashCount: number;
}

/** The evidence that one VM has. Mutable; owned by the event loop. */
export interface CrashEvidence {
  /** By server and start of the process. */
  readonly crashes: Map<string, CrashReport>;
  /** Time at which each cause was last healthy, by its kind; the cause used least recently comes first. */
  readonly healthyAtMs: Readonly<Record<CauseKind, Map<string, number>>>;
  readonly quarantines: Map<string, Quarantine>;
}

/** A cause that was healthy at a time. */
export interface HealthyCause {
  readonly service: string;
  readonly cause: string;
  readonly atMs: number;
}

const MAX_CRASHES = 40;

/** For each crash. */
const MAX_SUSPECTS = 100;

/** Number of parts that are kept of a prompt; the last ones count. */
export const MAX_PARTS_OF_SUSPECT = 16;

const MAX_CAUSE_LENGTH = 64;

/** For each kind. */
const MAX_HEALTHY_CAUSES = 4_096;

/** Longest delay of a message between VMs. */
const MAX_MESSAGE_DELAY_MS = 1_000;

/** Health within this time before its first crash speaks for a cause. */
export const HEALTH_MEMORY_MS = 60_000;

/** Creates a table without evidence. */
export function createCrashEvidence(): CrashEvidence {
  const healthyAtMs = { [CauseKind.PromptPart]: new Map(), [CauseKind.Request]: new Map() };
  return { crashes: new Map(), healthyAtMs, quarantines: new Map() };
}

/** Returns the key under which the times of a cause are stored. */
export function getCauseKey(service: string, cause: string): string {
  return `${service} ${cause}`;
}

/** Returns the key of the process that crashed. */
export function getProcessKey(serverId: string, bornAtWallMs: number): string {
  return `${serverId}@${bornAtWallMs}`;
}

/** Deletes the oldest entries of a map until it has at most `limit`. */
export function trimOldest<V>(map: Map<string, V>, limit: number): void {
  const keys = map.keys();
  while (map.size > limit) {
    map.delete(keys.next().value!);
  }
}

/** Returns the time at which a cause was last healthy; infinitely long ago if that is not known. */
export function getHealthyMs(
  { healthyAtMs }: CrashEvidence,
  service: string,
  cause: string,
): number {
  const key = getCauseKey(service, cause);
  return healthyAtMs[getCauseKind(cause)].get(key) ?? Number.NEGATIVE_INFINITY;
}

/** Returns the parts of a prompt that other requests may have as well: all but the last. */
export function getSharedParts(parts: readonly string[]): readonly string[] {
  return parts.slice(0, -1);
}

/** Lists what may be the cause of a crash in a suspect: its shared prompt parts, and the request itself. */
export function listCauses({
  parts,
  requestCause,
}: Pick<Suspect, 'parts' | 'requestCause'>): string[] {
  const sharedParts = getSharedParts(parts);
  return requestCause === '' ? [...sharedParts] : [...sharedParts, requestCause];
}

/** Records that an answer to a request with these causes was produced. */
export function recordHealthyCauses(
  { healthyAtMs }: CrashEvidence,
  service: string,
  causes: readonly string[],
  atMs: number,
): void {
  causes.forEach((cause) => {
    const timesMs = healthyAtMs[getCauseKind(cause)];
    const key = getCauseKey(service, cause);
    const knownAtMs = timesMs.get(key) ?? atMs;
    timesMs.delete(key);
    timesMs.set(key, Math.max(knownAtMs, atMs));
    trimOldest(timesMs, MAX_HEALTHY_CAUSES);
  });
}

/** Returns whether a text has the length of a cause. */
export function isCause(cause: string): boolean {
  return cause.length > 0 && cause.length <= MAX_CAUSE_LENGTH;
}

/** Reduces a suspect to what may be the cause of a crash: what was not healthy shortly before. */
function keepPlausible(
  evidence: CrashEvidence,
  { atMs, service }: CrashReport,
  { isAnswering, parts, requestCause }: Suspect,
): Suspect {
  const isPlausible = (cause: string): boolean =>
    isCause(cause) &&
    atMs - getHealthyMs(evidence, service, cause) > CAUSE_RULES[getCauseKind(cause)].healthMemoryMs;
  const keptParts = parts.filter(isCause).slice(-MAX_PARTS_OF_SUSPECT);
  return {
    isAnswering,
    parts: getSharedParts(keptParts).some(isPlausible) ? keptParts : [],
    requestCause: isPlausible(requestCause) ? requestCause : '',
  };
}

/**
 * Records healthy causes that another VM has reported. A slightly later time than the known one is the delay of the
 * messages: taken over, it would move on with each exchange.
 */
export function mergeHealthyCauses(
  evidence: CrashEvidence,
  healthyCauses: readonly HealthyCause[],
  nowMs: number,
): void {
  healthyCauses
    .filter(
      ({ atMs, cause, service }) =>
        atMs > getHealthyMs(evidence, service, cause) + MAX_MESSAGE_DELAY_MS,
    )
    .forEach(({ atMs, cause, service }) =>
      recordHealthyCauses(evidence, service, [cause], Math.min(nowMs, atMs)),
    );
}

function getSuspectKey({ parts, requestCause }: Suspect): string {
  return [requestCause, ...parts].join(',');
}

/** Selects the suspects to keep of a crash: first those of other crashes, then those that were being answered. */
function selectSuspects(
  { crashes }: CrashEvidence,
  processKey: string,
  suspects: readonly Suspect[],
): readonly Suspect[] {
  if (suspects.length <= MAX_SUSPECTS) {
    return suspects;
  }
  const others = [...crashes.entries()].filter(([key]) => key !== processKey);
  const known = new Set(
    others.flatMap(([, crash]) => crash.suspects.map(({ requestCause }) => requestCause)),
  );
  const getRank = ({ isAnswering, requestCause }: Suspect): number =>
    (known.has(requestCause) ? 2 : 0) + (isAnswering ? 1 : 0);
  return [...suspects].sort((a, b) => getRank(b) - getRank(a)).slice(0, MAX_SUSPECTS);
}

/** Adds a crash or further suspects of a known one. Returns false if the table had all of it already. */
export function recordCrash(evidence: CrashEvidence, report: CrashReport): boolean {
  const key = getProcessKey(report.serverId, report.bornAtWallMs);
  const known = evidence.crashes.get(key);
  const suspects = new Map((known?.suspects ?? []).map((item) => [getSuspectKey(item), item]));
  const added = report.suspects
    .map((suspect) => keepPlausible(evidence, report, suspect))
    .filter((suspect) => listCauses(suspect).length > 0)
    .filter((suspect) => {
      const existing = suspects.get(getSuspectKey(suspect));
      return existing === undefined || (suspect.isAnswering && !existing.isAnswering);
    });
  if (known !== undefined && added.length === 0) {
    return false;
  }
  added.forEach((suspect) => suspects.set(getSuspectKey(suspect), suspect));
  evidence.crashes.set(key, {
    ...report,
    atMs: Math.min(known?.atMs ?? report.atMs, report.atMs),
    suspects: selectSuspects(evidence, key, [...suspects.values()]),
  });
  trimOldest(evidence.crashes, MAX_CRASHES);
  return true;
}

/** Returns whether a request has all of some causes. */
export function containsAll(causes: readonly string[], required: readonly string[]): boolean {
  return required.every((cause) => causes.includes(cause));
}

/** Finds the suspects of a crash that have all of the given causes. */
export function findSuspects({ suspects }: CrashReport, required: readonly string[]): Suspect[] {
  return suspects.filter((suspect) => containsAll(listCauses(suspect), required));
}

/** Returns the causes that are suspects of a crash. */
export function listSuspectCauses({ suspects }: CrashReport): Set<string> {
  return new Set(suspects.flatMap(listCauses));
}
