/**
 * Attributes crashes to prompt parts. A part that is a suspect of several crashes and has not been healthy since is
 * quarantined. Parts that always occurred together are quarantined together: a request is rejected only if it has all
 * of them.
 */
import {
  type CrashReport,
  findSuspects,
  getHealthyMs,
  getPartKey,
  HEALTH_MEMORY_MS,
  listSuspectParts,
  type PromptEvidence,
  type Quarantine,
  QuarantineStatus,
} from './promptEvidence.js';
import {
  getQuarantineKey,
  isExplainedBy,
  listHeld,
  MAX_QUARANTINES,
  setQuarantine,
} from './quarantineTable.js';

/** Crashes within this time count as one: a power failure, for instance, ends several servers at the same moment. */
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
