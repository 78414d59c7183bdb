/**
 * Attributes crashes to prompt parts and to requests. A cause that is a suspect of several crashes and has not been
 * healthy since is quarantined. Parts that always occurred together are quarantined together: a request is rejected only if it
 * has all of them.
 */
import { CAUSE_RULES, CauseKind, type CauseRule, getCauseKind } from './crashCauses.js';
import {
  type CrashReport,
  findSuspects,
  getHealthyMs,
  getCauseKey,
  HEALTH_MEMORY_MS,
  listSuspectCauses,
  type CrashEvidence,
  type Quarantine,
  QuarantineStatus,
} from './crashEvidence.js';
import {
  getQuarantineKey,
  isExplainedBy,
  listHeld,
  MAX_QUARANTINES,
  setQuarantine,
} from './quarantineTable.js';

/** Crashes within this time are at one moment: a power failure, for instance, ends several servers at once. */
const SIMULTANEOUS_MS = 30;

/** With fewer crashes, no cause is quarantined, whatever its kind. */
const MIN_REQUIRED_CRASHES = Math.min(
  ...Object.values(CAUSE_RULES).flatMap((rule) => rule.requiredCrashesByAddresses),
);

/** Crashes that are further apart than this are not of one wave, as of servers that lose power one after the other. */
const WAVE_MS = 800;

/** Number of crashes from which on a request that was present is not sent to another server. */
const RETRY_CRASH_LIMIT = 2;

/** A cause and the crashes that it has not been cleared of. */
interface Candidate {
  readonly service: string;
  readonly cause: string;
  readonly crashes: CrashReport[];
}

function getRule({ cause }: Candidate): CauseRule {
  return CAUSE_RULES[getCauseKind(cause)];
}

/**
 * Lists the causes that are suspects of crashes. A crash that a quarantine explains counts only for the causes of that
 * quarantine, one of which may be the cause without the others.
 */
function listCandidates(evidence: CrashEvidence): Map<string, Candidate> {
  const held = listHeld(evidence);
  const candidates = new Map<string, Candidate>();
  evidence.crashes.forEach((crash) => {
    const explaining = held.filter((quarantine) => isExplainedBy(crash, quarantine));
    listSuspectCauses(crash).forEach((cause) => {
      const { service } = crash;
      const key = getCauseKey(service, cause);
      const isCleared = getHealthyMs(evidence, service, cause) >= crash.atMs;
      const isExplained = explaining.length > 0;
      if (isCleared || (isExplained && !explaining.some(({ causes }) => causes.includes(cause)))) {
        return;
      }
      const candidate = candidates.get(key) ?? { service, cause, crashes: [] };
      candidate.crashes.push(crash);
      candidates.set(key, candidate);
    });
  });
  return candidates;
}

/** Counts the moments of crashes. */
function countMoments(crashes: readonly CrashReport[]): number {
  const timesMs = crashes.map(({ atMs }) => atMs).sort((a, b) => a - b);
  return timesMs.filter((atMs, i) => i === 0 || atMs - timesMs[i - 1]! > SIMULTANEOUS_MS).length;
}

/** Counts the waves of crashes, each of which ends after a fixed time. */
function countWaves(crashes: readonly CrashReport[]): number {
  const timesMs = crashes.map(({ atMs }) => atMs).sort((a, b) => a - b);
  const startsMs = timesMs.reduce<number[]>(
    (starts, atMs) =>
      atMs - (starts.at(-1) ?? Number.NEGATIVE_INFINITY) > WAVE_MS ? [...starts, atMs] : starts,
    [],
  );
  return startsMs.length;
}

/** Counts the requests with a cause among the suspects of its crashes. */
function countRequests({ cause, crashes }: Candidate): number {
  const requests = crashes.flatMap((crash) => findSuspects(crash, [cause]));
  return new Set(requests.map(({ parts, requestCause }) => parts.at(-1) ?? requestCause)).size;
}

/** Adds up the crashes of a cause, of which those count less in which no request with it was being answered. */
function getCrashWeight(candidate: Candidate): number {
  const { cause, crashes } = candidate;
  const { unansweredCrashWeight } = getRule(candidate);
  return crashes.reduce((sum, crash) => {
    const isAnswering = findSuspects(crash, [cause]).some((suspect) => suspect.isAnswering);
    return sum + (isAnswering ? 1 : unansweredCrashWeight);
  }, 0);
}

/** Returns whether a cause is a suspect of more crashes, among those that are not explained, than by chance. */
function isSignificant(evidence: CrashEvidence, candidate: Candidate): boolean {
  const { crashes, service } = candidate;
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
  return crashes.length ** 2 >= allCrashes * getRule(candidate).requiredSignificance;
}

function hasEnoughCrashes(candidate: Candidate): boolean {
  const { crashes } = candidate;
  const rule = getRule(candidate);
  const { requiredCrashesByAddresses, requiredCrashWeight, requiredRequests } = rule;
  const addresses = new Set(crashes.map(({ address }) => address)).size;
  const index = Math.min(addresses, requiredCrashesByAddresses.length - 1);
  const count = rule.countsMoments ? countMoments(crashes) : crashes.length;
  return (
    count >= requiredCrashesByAddresses[index]! &&
    getCrashWeight(candidate) >= requiredCrashWeight &&
    countRequests(candidate) >= requiredRequests
  );
}

/** Returns whether a cause was healthy shortly before the crashes that it is a suspect of, which are too few against that. */
function isExonerated(evidence: CrashEvidence, candidate: Candidate): boolean {
  const { cause, crashes, service } = candidate;
  const wasHealthyBefore =
    crashes[0]!.atMs - getHealthyMs(evidence, service, cause) < HEALTH_MEMORY_MS;
  return wasHealthyBefore && countWaves(crashes) < getRule(candidate).wavesAgainstHealth;
}

/** Returns whether two causes occurred in the same requests in all crashes of the first one. */
function occurTogether(a: Candidate, b: Candidate): boolean {
  return a.crashes.every((crash) => findSuspects(crash, [a.cause, b.cause]).length > 0);
}

function isOfSameKind(a: Candidate, b: Candidate): boolean {
  return a.service === b.service && getCauseKind(a.cause) === getCauseKind(b.cause);
}

/**
 * Returns whether the crashes of a part may have another cause: another part, in other requests, or one request that was
 * there each time.
 */
function isRival(a: Candidate, b: Candidate): boolean {
  return (
    a.service === b.service &&
    a.crashes.every((crash) => b.crashes.includes(crash)) &&
    (getCauseKind(b.cause) === CauseKind.Request || !occurTogether(a, b))
  );
}

/** The cause that the evidence singles out, with the parts that always occurred together with it. */
interface Culprit {
  readonly candidate: Candidate;
  readonly causes: readonly string[];
}

/** Lists the causes that are quarantined with a candidate: a request by itself, a part with those it occurs with. */
const JOINT_CAUSES: Readonly<
  Record<CauseKind, (candidate: Candidate, candidates: readonly Candidate[]) => string[]>
> = {
  [CauseKind.PromptPart]: (candidate, candidates) =>
    candidates
      .filter((other) => isOfSameKind(candidate, other) && occurTogether(candidate, other))
      .map(({ cause }) => cause)
      .sort(),
  [CauseKind.Request]: ({ cause }) => [cause],
};

/** Finds the next cause to quarantine; undefined if the evidence does not single any out. */
function findCulprit(evidence: CrashEvidence): Culprit | undefined {
  const held = listHeld(evidence);
  const candidates = [...listCandidates(evidence).values()]
    .filter(({ crashes }) => crashes.length >= MIN_REQUIRED_CRASHES)
    .filter((candidate) => !isExonerated(evidence, candidate))
    .sort((a, b) => b.crashes.length - a.crashes.length);
  const isQuarantined = ({ cause, crashes }: Candidate): boolean =>
    held.some(
      (quarantine) =>
        quarantine.causes.includes(cause) &&
        crashes.every((crash) => isExplainedBy(crash, quarantine)),
    );
  const candidate = candidates.find(
    (suspect) =>
      hasEnoughCrashes(suspect) &&
      !isQuarantined(suspect) &&
      isSignificant(evidence, suspect) &&
      !(
        getRule(suspect).requiresNoRival &&
        candidates.some((other) => other !== suspect && isRival(suspect, other))
      ),
  );
  if (candidate === undefined) {
    return undefined;
  }
  const causes = JOINT_CAUSES[getCauseKind(candidate.cause)](candidate, candidates);
  return { candidate, causes };
}

function createQuarantine(
  { quarantines }: CrashEvidence,
  { candidate, causes }: Culprit,
): Quarantine {
  const { crashes, service } = candidate;
  const timesMs = crashes.map(({ atMs }) => atMs);
  const known = quarantines.get(getQuarantineKey({ service, causes }));
  return {
    service,
    causes,
    episode: (known?.episode ?? 0) + 1,
    status: QuarantineStatus.Held,
    firstCrashAtMs: Math.min(...timesMs),
    lastCrashAtMs: Math.max(...timesMs),
    crashCount: crashes.length,
  };
}

/** Quarantines the causes that the evidence singles out, and returns the new quarantines. */
export function addQuarantines(evidence: CrashEvidence): Quarantine[] {
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
  evidence: CrashEvidence,
  service: string,
  causes: readonly string[],
): boolean {
  const crashes = [...evidence.crashes.values()].filter((crash) => crash.service === service);
  return causes.some((cause) => {
    const healthyMs = getHealthyMs(evidence, service, cause);
    const { healthMemoryMs } = CAUSE_RULES[getCauseKind(cause)];
    const uncleared = crashes.filter(
      (crash) => crash.atMs - healthyMs > healthMemoryMs && findSuspects(crash, [cause]).length > 0,
    );
    return uncleared.length >= RETRY_CRASH_LIMIT;
  });
}
