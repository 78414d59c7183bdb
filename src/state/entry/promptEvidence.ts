/**
 * Evidence on which parts of prompts crash backend servers.
 *
 * A crash report names the requests that were at a server when it crashed and whose answers had not been running for
 * some time; each of their prompt parts is a suspect. A part under which an answer is produced is healthy, which clears
 * it of all earlier crashes.
 *
 * The functions are pure transitions of one table; all times are on the clock of the VM that owns the table.
 */

/** A request that was at a server when it crashed, and whose answer had not been running for some time. */
export interface Suspect {
  /** The last part belongs to the request alone, and tells it from others. */
  readonly parts: readonly string[];
  /** True if the server had begun to answer the request, which makes it more likely to be the cause. */
  readonly isAnswering: boolean;
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

/** Whether requests with the parts of a quarantine are rejected. */
export const QuarantineStatus = { Held: 'held', Released: 'released' } as const;
export type QuarantineStatus = (typeof QuarantineStatus)[keyof typeof QuarantineStatus];

/** Prompt parts whose joint occurrence in a request is blamed for crashes. */
export interface Quarantine {
  readonly service: string;
  /** Sorted. */
  readonly parts: readonly string[];
  /** Increases each time that the parts are quarantined again after a release. */
  readonly episode: number;
  readonly status: QuarantineStatus;
  /** Time of the first of the crashes that are the evidence. */
  readonly firstCrashAtMs: number;
  readonly lastCrashAtMs: number;
  readonly crashCount: number;
}

/** The evidence that one VM has. Mutable; owned by the event loop. */
export interface PromptEvidence {
  /** By server and start of the process. */
  readonly crashes: Map<string, CrashReport>;
  /** Time at which each part was last healthy; the part used least recently comes first. */
  readonly healthyAtMs: Map<string, number>;
  readonly quarantines: Map<string, Quarantine>;
}

/** A part that was healthy at a time. */
export interface HealthyPart {
  readonly service: string;
  readonly part: string;
  readonly atMs: number;
}

const MAX_CRASHES = 48;

/** For each crash. */
const MAX_SUSPECTS = 32;

/** Number of parts that are kept of a prompt; the last ones count. */
export const MAX_PARTS_OF_SUSPECT = 16;

const MAX_PART_LENGTH = 64;

const MAX_HEALTHY_PARTS = 4_096;

/** Longest delay of a message between VMs. */
const MAX_MESSAGE_DELAY_MS = 1_000;

/** A part that was healthy within this time before its first crash is not quarantined: it occurs in sound requests. */
export const HEALTH_MEMORY_MS = 60_000;

/** Creates a table without evidence. */
export function createPromptEvidence(): PromptEvidence {
  return { crashes: new Map(), healthyAtMs: new Map(), quarantines: new Map() };
}

/** Returns the key under which the times of a part are stored. */
export function getPartKey(service: string, part: string): string {
  return `${service} ${part}`;
}

/** Returns the key of the process that crashed. */
export function getProcessKey(serverId: string, bornAtWallMs: number): string {
  return `${serverId}@${bornAtWallMs}`;
}

/** Deletes the oldest entries of a map until it has at most `limit`. */
export function trimOldest<V>(map: Map<string, V>, limit: number): void {
  const surplus = Math.max(0, map.size - limit);
  [...map.keys()].slice(0, surplus).forEach((key) => map.delete(key));
}

/** Returns the time at which a part was last healthy; infinitely long ago if that is not known. */
export function getHealthyMs(
  { healthyAtMs }: PromptEvidence,
  service: string,
  part: string,
): number {
  return healthyAtMs.get(getPartKey(service, part)) ?? Number.NEGATIVE_INFINITY;
}

/** Returns the parts of a prompt that other requests may have as well: all but the last. */
export function getSharedParts(parts: readonly string[]): readonly string[] {
  return parts.slice(0, -1);
}

/** Records that an answer under these parts was produced. */
export function recordHealthyParts(
  { healthyAtMs }: PromptEvidence,
  service: string,
  parts: readonly string[],
  atMs: number,
): void {
  parts.forEach((part) => {
    const key = getPartKey(service, part);
    const knownAtMs = healthyAtMs.get(key) ?? atMs;
    healthyAtMs.delete(key);
    healthyAtMs.set(key, Math.max(knownAtMs, atMs));
  });
  trimOldest(healthyAtMs, MAX_HEALTHY_PARTS);
}

/** Returns whether a text has the length of a part id. */
export function isPart(part: string): boolean {
  return part.length > 0 && part.length <= MAX_PART_LENGTH;
}

/** Returns whether a request may be the cause of a crash: not all of its parts were healthy shortly before. */
function isPlausible(
  evidence: PromptEvidence,
  { atMs, service }: CrashReport,
  parts: readonly string[],
): boolean {
  return getSharedParts(parts).some(
    (part) => atMs - getHealthyMs(evidence, service, part) > HEALTH_MEMORY_MS,
  );
}

/**
 * Records healthy parts that another VM has reported. A slightly later time than the known one is the delay of the
 * messages: taken over, it would move on with each exchange.
 */
export function mergeHealthyParts(
  evidence: PromptEvidence,
  healthyParts: readonly HealthyPart[],
  nowMs: number,
): void {
  healthyParts
    .filter(
      ({ atMs, part, service }) =>
        atMs > getHealthyMs(evidence, service, part) + MAX_MESSAGE_DELAY_MS,
    )
    .forEach(({ atMs, part, service }) =>
      recordHealthyParts(evidence, service, [part], Math.min(nowMs, atMs)),
    );
}

function getSuspectKey({ parts }: Suspect): string {
  return parts.join(',');
}

/** Adds a crash or further suspects of a known one. Returns false if the table had all of it already. */
export function recordCrash(evidence: PromptEvidence, report: CrashReport): boolean {
  const key = getProcessKey(report.serverId, report.bornAtWallMs);
  const known = evidence.crashes.get(key);
  const suspects = new Map((known?.suspects ?? []).map((item) => [getSuspectKey(item), item]));
  const added = report.suspects
    .map(({ isAnswering, parts }) => ({
      isAnswering,
      parts: parts.filter(isPart).slice(-MAX_PARTS_OF_SUSPECT),
    }))
    .filter((suspect) => isPlausible(evidence, report, suspect.parts))
    .filter((suspect) => {
      const existing = suspects.get(getSuspectKey(suspect));
      return existing === undefined || (suspect.isAnswering && !existing.isAnswering);
    })
    .slice(0, Math.max(0, MAX_SUSPECTS - suspects.size));
  if (known !== undefined && added.length === 0) {
    return false;
  }
  added.forEach((suspect) => suspects.set(getSuspectKey(suspect), suspect));
  evidence.crashes.set(key, {
    ...report,
    atMs: Math.min(known?.atMs ?? report.atMs, report.atMs),
    suspects: [...suspects.values()],
  });
  trimOldest(evidence.crashes, MAX_CRASHES);
  return true;
}

/** Returns whether a prompt has all of some parts. */
export function containsAll(parts: readonly string[], required: readonly string[]): boolean {
  return required.every((part) => parts.includes(part));
}

/** Finds the suspects of a crash whose prompts share all of the given parts with others. */
export function findSuspects({ suspects }: CrashReport, required: readonly string[]): Suspect[] {
  return suspects.filter(({ parts }) => containsAll(getSharedParts(parts), required));
}

/** Returns the parts that are suspects of a crash. */
export function listSuspectParts({ suspects }: CrashReport): Set<string> {
  return new Set(suspects.flatMap(({ parts }) => getSharedParts(parts)));
}
