/**
 * Evidence on which parts of prompts crash backend servers, and the quarantines that follow from it.
 *
 * A crash report names the requests whose answers had not begun when a server crashed; each of their prompt parts is a
 * suspect. A part under which an answer is produced is healthy, which clears it of all earlier crashes. A part that
 * is a suspect of several crashes and has not been healthy since is quarantined. Parts that always occurred together
 * are quarantined together: a request is rejected only if it has all of them.
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

const MAX_CRASHES = 48;
/** For each crash. */
const MAX_SUSPECTS = 32;
const MAX_PARTS_OF_SUSPECT = 16;
const MAX_PART_LENGTH = 64;
const MAX_HEALTHY_PARTS = 4_096;
const MAX_QUARANTINES = 256;
const MAX_SHARED_HEALTHY_PARTS = 128;
/** Crashes that are further apart than this are not related to each other. */
const CRASH_MEMORY_MS = 600_000;
/** Longest delay of a message between VMs. */
const MAX_MESSAGE_DELAY_MS = 1_000;
/** Later than this after a crash, VMs that have not heard of it need only know the quarantines. */
const CRASH_SHARING_MS = 3_000;
/** A part that was healthy within this time before its first crash is not quarantined: it occurs in sound requests. */
const HEALTH_MEMORY_MS = 60_000;
/** Crashes within this time have one cause outside the prompts, such as a power failure, or count as one. */
const SIMULTANEOUS_MS = 30;
/**
 * Number of separate crashes after which a part is quarantined, by the number of different addresses, the last entry
 * for all higher numbers. A server that crashes by itself has one address.
 */
const REQUIRED_CRASHES_BY_ADDRESSES = [Number.POSITIVE_INFINITY, 5, 4, 3];
/** Weight of a crash in which no request with a part was being answered. */
const UNANSWERED_CRASH_WEIGHT = 0.5;
const REQUIRED_CRASH_WEIGHT = 2.5;
/**
 * The square of a part's crashes must be at least this multiple of all crashes from its first to its last. A part that
 * is present by chance is a suspect of few of them.
 */
const REQUIRED_CRASH_SIGNIFICANCE = 2;
/** Number of different requests among the suspects: a single one may be retried into several crashes of another cause. */
const REQUIRED_REQUESTS = 3;
/** Number of crashes from which on a request that was present is not sent to another server. */
const RETRY_CRASH_LIMIT = 2;
/** Time after the last crash until one request may test whether the cause has gone; doubles with each failed test. */
const FIRST_TRIAL_DELAY_MS = 60_000;
const MAX_TRIAL_DELAY_MS = 1_800_000;
/** A quarantine without a crash for this time is forgotten. */
const QUARANTINE_MEMORY_MS = 3_600_000;

/** Creates a table without evidence. */
export function createPromptEvidence(): PromptEvidence {
  return { crashes: new Map(), healthyAtMs: new Map(), quarantines: new Map() };
}

function getPartKey(service: string, part: string): string {
  return `${service} ${part}`;
}

/** Returns the key under which a quarantine is stored. */
export function getQuarantineKey({
  parts,
  service,
}: Pick<Quarantine, 'parts' | 'service'>): string {
  return `${service} ${parts.join('+')}`;
}

/** Returns the key of the process that crashed. */
export function getProcessKey(serverId: string, bornAtWallMs: number): string {
  return `${serverId}@${bornAtWallMs}`;
}

/** Deletes the oldest entries of a map until it has at most `limit`. */
function trimOldest<V>(map: Map<string, V>, limit: number): void {
  const surplus = Math.max(0, map.size - limit);
  [...map.keys()].slice(0, surplus).forEach((key) => map.delete(key));
}

/** Returns the time at which a part was last healthy; infinitely long ago if that is not known. */
function getHealthyMs({ healthyAtMs }: PromptEvidence, service: string, part: string): number {
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

function isPart(part: string): boolean {
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

function containsAll(parts: readonly string[], required: readonly string[]): boolean {
  return required.every((part) => parts.includes(part));
}

/** Finds the suspects of a crash whose prompts share all of the given parts with others. */
function findSuspects({ suspects }: CrashReport, required: readonly string[]): Suspect[] {
  return suspects.filter(({ parts }) => containsAll(getSharedParts(parts), required));
}

/** Returns the parts that are suspects of a crash. */
function listSuspectParts({ suspects }: CrashReport): Set<string> {
  return new Set(suspects.flatMap(({ parts }) => getSharedParts(parts)));
}

function isExplainedBy(crash: CrashReport, quarantine: Quarantine): boolean {
  return crash.service === quarantine.service && findSuspects(crash, quarantine.parts).length > 0;
}

function listHeld({ quarantines }: PromptEvidence): Quarantine[] {
  return [...quarantines.values()].filter(({ status }) => status === QuarantineStatus.Held);
}

/** Returns the number of quarantines in force. */
export function countHeldQuarantines(evidence: PromptEvidence): number {
  return listHeld(evidence).length;
}

/** Finds the quarantine that applies to a request; undefined if there is none. */
export function findQuarantine(
  evidence: PromptEvidence,
  service: string,
  parts: readonly string[],
): Quarantine | undefined {
  return listHeld(evidence).find(
    (quarantine) => quarantine.service === service && containsAll(parts, quarantine.parts),
  );
}

/** A part and the crashes that it has not been cleared of. */
interface Candidate {
  readonly service: string;
  readonly part: string;
  readonly crashes: CrashReport[];
}

/**
 * Lists the parts that are suspects of crashes. A crash that a quarantine explains counts only for the parts of that
 * quarantine, one of which may be the cause without the others.
 */
function listCandidates(evidence: PromptEvidence): Map<string, Candidate> {
  const held = listHeld(evidence);
  const candidates = new Map<string, Candidate>();
  evidence.crashes.forEach((crash) => {
    const explaining = held.filter((quarantine) => isExplainedBy(crash, quarantine));
    listSuspectParts(crash).forEach((part) => {
      const { service } = crash;
      const key = getPartKey(service, part);
      const isCleared = getHealthyMs(evidence, service, part) >= crash.atMs;
      const isExplained = explaining.length > 0;
      if (isCleared || (isExplained && !explaining.some(({ parts }) => parts.includes(part)))) {
        return;
      }
      const candidate = candidates.get(key) ?? { service, part, crashes: [] };
      candidate.crashes.push(crash);
      candidates.set(key, candidate);
    });
  });
  return candidates;
}

/** Counts crashes, those at the same time as one. */
function countSeparateCrashes(crashes: readonly CrashReport[]): number {
  const timesMs = crashes.map(({ atMs }) => atMs).sort((a, b) => a - b);
  return timesMs.filter((atMs, i) => i === 0 || atMs - timesMs[i - 1]! > SIMULTANEOUS_MS).length;
}

/** Counts the requests with a part among the suspects of its crashes. */
function countRequests({ crashes, part }: Candidate): number {
  const requests = crashes.flatMap((crash) => findSuspects(crash, [part]));
  return new Set(requests.map(({ parts }) => parts.at(-1))).size;
}

/** Adds up the crashes of a part, of which those count less in which no request with it was being answered. */
function getCrashWeight({ crashes, part }: Candidate): number {
  return crashes.reduce((sum, crash) => {
    const isAnswering = findSuspects(crash, [part]).some((suspect) => suspect.isAnswering);
    return sum + (isAnswering ? 1 : UNANSWERED_CRASH_WEIGHT);
  }, 0);
}

/** Returns whether a part is a suspect of more crashes, among those that are not explained, than by chance. */
function isSignificant(evidence: PromptEvidence, { crashes, service }: Candidate): boolean {
  const held = listHeld(evidence);
  const timesMs = crashes.map(({ atMs }) => atMs);
  const firstAtMs = Math.min(...timesMs);
  const lastAtMs = Math.max(...timesMs);
  const others = [...evidence.crashes.values()].filter(
    (crash) =>
      crash.service === service &&
      crash.atMs >= firstAtMs &&
      crash.atMs <= lastAtMs &&
      !crashes.includes(crash) &&
      !held.some((quarantine) => isExplainedBy(crash, quarantine)),
  );
  const allCrashes = crashes.length + others.length;
  return crashes.length ** 2 >= allCrashes * REQUIRED_CRASH_SIGNIFICANCE;
}

function hasEnoughCrashes(candidate: Candidate): boolean {
  const { crashes } = candidate;
  const addresses = new Set(crashes.map(({ address }) => address)).size;
  const index = Math.min(addresses, REQUIRED_CRASHES_BY_ADDRESSES.length - 1);
  return (
    countSeparateCrashes(crashes) >= REQUIRED_CRASHES_BY_ADDRESSES[index]! &&
    getCrashWeight(candidate) >= REQUIRED_CRASH_WEIGHT &&
    countRequests(candidate) >= REQUIRED_REQUESTS
  );
}

/** Returns whether a part was healthy shortly before the crashes that it is a suspect of. */
function wasHealthyBefore(
  evidence: PromptEvidence,
  { crashes, part, service }: Candidate,
): boolean {
  return crashes[0]!.atMs - getHealthyMs(evidence, service, part) < HEALTH_MEMORY_MS;
}

/** Returns whether two parts occurred in the same requests in all crashes of the first one. */
function occurTogether(a: Candidate, b: Candidate): boolean {
  return a.crashes.every((crash) => findSuspects(crash, [a.part, b.part]).length > 0);
}

/** Returns whether a part is a suspect of all crashes of another, though in other requests. */
function isRival(a: Candidate, b: Candidate): boolean {
  return (
    a.service === b.service &&
    a.crashes.every((crash) => b.crashes.includes(crash)) &&
    !occurTogether(a, b)
  );
}

/** The part that the evidence singles out, with the parts that always occurred together with it. */
interface Culprit {
  readonly candidate: Candidate;
  readonly parts: readonly string[];
}

/** Finds the next part to quarantine; undefined if the evidence does not single any out. */
function findCulprit(evidence: PromptEvidence): Culprit | undefined {
  const held = listHeld(evidence);
  const candidates = [...listCandidates(evidence).values()]
    .filter((candidate) => !wasHealthyBefore(evidence, candidate))
    .sort((a, b) => b.crashes.length - a.crashes.length);
  const isQuarantined = ({ crashes, part }: Candidate): boolean =>
    held.some(
      (quarantine) =>
        quarantine.parts.includes(part) &&
        crashes.every((crash) => isExplainedBy(crash, quarantine)),
    );
  const candidate = candidates.find(
    (suspect) =>
      hasEnoughCrashes(suspect) &&
      !isQuarantined(suspect) &&
      isSignificant(evidence, suspect) &&
      !candidates.some((other) => other !== suspect && isRival(suspect, other)),
  );
  if (candidate === undefined) {
    return undefined;
  }
  const parts = candidates
    .filter(({ service }) => service === candidate.service)
    .filter((other) => occurTogether(candidate, other))
    .map(({ part }) => part);
  return { candidate, parts: parts.sort() };
}

function createQuarantine(
  { quarantines }: PromptEvidence,
  { candidate, parts }: Culprit,
): Quarantine {
  const { crashes, service } = candidate;
  const timesMs = crashes.map(({ atMs }) => atMs);
  const known = quarantines.get(getQuarantineKey({ service, parts }));
  return {
    service,
    parts,
    episode: (known?.episode ?? 0) + 1,
    status: QuarantineStatus.Held,
    firstCrashAtMs: Math.min(...timesMs),
    lastCrashAtMs: Math.max(...timesMs),
    crashCount: crashes.length,
  };
}

function setQuarantine({ quarantines }: PromptEvidence, quarantine: Quarantine): void {
  quarantines.set(getQuarantineKey(quarantine), quarantine);
  trimOldest(quarantines, MAX_QUARANTINES);
}

/** Quarantines the parts that the evidence singles out, and returns the new quarantines. */
export function addQuarantines(evidence: PromptEvidence): Quarantine[] {
  const added: Quarantine[] = [];
  for (
    let culprit = findCulprit(evidence);
    culprit !== undefined && added.length < MAX_QUARANTINES;
    culprit = findCulprit(evidence)
  ) {
    const quarantine = createQuarantine(evidence, culprit);
    setQuarantine(evidence, quarantine);
    added.push(quarantine);
  }
  return added;
}

/** Adds crashes after the start of a quarantine to it, so that its next trial is put off. */
export function extendQuarantines(evidence: PromptEvidence): void {
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

/** Ends a quarantine, for instance because a request with its parts was answered. */
export function releaseQuarantine(evidence: PromptEvidence, quarantine: Quarantine): void {
  setQuarantine(evidence, { ...quarantine, status: QuarantineStatus.Released });
  [...evidence.crashes.entries()]
    .filter(([, crash]) => isExplainedBy(crash, quarantine))
    .forEach(([key]) => evidence.crashes.delete(key));
}

/** Returns whether the only part of a quarantine has been healthy since the first crash that it is blamed for. */
export function isRefuted(
  evidence: PromptEvidence,
  { firstCrashAtMs, parts, service }: Quarantine,
): boolean {
  const [part = ''] = parts;
  return parts.length === 1 && getHealthyMs(evidence, service, part) > firstCrashAtMs;
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
export function mergeQuarantine(evidence: PromptEvidence, quarantine: Quarantine): boolean {
  const { parts } = quarantine;
  const isValid = parts.length > 0 && parts.length <= MAX_PARTS_OF_SUSPECT && parts.every(isPart);
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

/** Returns the time from which one request with the parts may test whether they still crash servers. */
export function getTrialAtMs({ crashCount, lastCrashAtMs }: Quarantine): number {
  const failedTrials = Math.max(0, crashCount - REQUIRED_CRASHES_BY_ADDRESSES.at(-1)!);
  const delayMs = Math.min(MAX_TRIAL_DELAY_MS, FIRST_TRIAL_DELAY_MS * 2 ** failedTrials);
  return lastCrashAtMs + delayMs;
}

/** Returns whether a request whose server has crashed may be the cause, so that it must not be sent to another one. */
export function isRetryDoubtful(
  evidence: PromptEvidence,
  service: string,
  parts: readonly string[],
): boolean {
  const crashes = [...evidence.crashes.values()].filter((crash) => crash.service === service);
  return parts.some((part) => {
    const healthyMs = getHealthyMs(evidence, service, part);
    const uncleared = crashes.filter(
      (crash) =>
        crash.atMs - healthyMs > HEALTH_MEMORY_MS && findSuspects(crash, [part]).length > 0,
    );
    return uncleared.length >= RETRY_CRASH_LIMIT;
  });
}

function listSharedCrashes({ crashes }: PromptEvidence, nowMs: number): CrashReport[] {
  return [...crashes.values()].filter(({ atMs }) => nowMs - atMs < CRASH_SHARING_MS);
}

/** A part that was healthy at a time. */
export interface HealthyPart {
  readonly service: string;
  readonly part: string;
  readonly atMs: number;
}

/** Lists the parts that are suspects of several crashes and were healthy recently, for VMs that have not seen that. */
function listHealthySuspects(evidence: PromptEvidence, nowMs: number): HealthyPart[] {
  const crashCounts = new Map<string, HealthyPart & { readonly crashCount: number }>();
  listSharedCrashes(evidence, nowMs).forEach((crash) => {
    const { service } = crash;
    listSuspectParts(crash).forEach((part) => {
      const key = getPartKey(service, part);
      const atMs = getHealthyMs(evidence, service, part);
      const crashCount = (crashCounts.get(key)?.crashCount ?? 0) + 1;
      crashCounts.set(key, { service, part, atMs, crashCount });
    });
  });
  return [...crashCounts.values()]
    .filter(({ atMs, crashCount }) => crashCount > 1 && nowMs - atMs < HEALTH_MEMORY_MS)
    .slice(0, MAX_SHARED_HEALTHY_PARTS)
    .map(({ atMs, part, service }) => ({ service, part, atMs }));
}

/** Evidence on prompts, for other VMs or from one of them. */
export interface PromptEvidenceReport {
  readonly crashes: readonly CrashReport[];
  readonly healthyParts: readonly HealthyPart[];
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

/** All that VMs tell each other of backend servers. */
export interface EvidenceReport extends PromptEvidenceReport {
  readonly limits: readonly LimitReport[];
}

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
    healthyParts: report.healthyParts.map(shift),
    quarantines: report.quarantines.map((quarantine) => shiftQuarantine(quarantine, offsetMs)),
    limits: report.limits,
  };
}

/** Returns all quarantines, with times relative to now. */
export function createRelativeQuarantines(
  { quarantines }: PromptEvidence,
  nowMs: number,
): Quarantine[] {
  return [...quarantines.values()].map((quarantine) => shiftQuarantine(quarantine, -nowMs));
}

/** Returns the evidence that other VMs may lack, with times on this VM's clock. */
export function createEvidenceReport(
  evidence: PromptEvidence,
  limits: readonly LimitReport[],
  nowMs: number,
): EvidenceReport {
  return {
    limits,
    crashes: listSharedCrashes(evidence, nowMs),
    healthyParts: listHealthySuspects(evidence, nowMs),
    quarantines: [...evidence.quarantines.values()],
  };
}

/** Removes evidence that no longer counts. */
export function expireEvidence(evidence: PromptEvidence, nowMs: number): void {
  [...evidence.crashes.entries()]
    .filter(([, { atMs }]) => nowMs - atMs > CRASH_MEMORY_MS)
    .forEach(([key]) => evidence.crashes.delete(key));
  [...evidence.quarantines.entries()]
    .filter(([, { lastCrashAtMs }]) => nowMs - lastCrashAtMs > QUARANTINE_MEMORY_MS)
    .forEach(([key]) => evidence.quarantines.delete(key));
}
