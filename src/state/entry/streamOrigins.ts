/**
 * Which software version began each stream, and which versions of each service have been in service. What two versions write
 * into a stream does not fit together, so a caller that takes a stream up has to reach the version that began it.
 */
import { createHash } from 'node:crypto';
import { type Deployment, RouteKind } from './deployment.js';

/** Length of a digest in hexadecimal digits. */
const DIGEST_LENGTH = 16;
/** Callers may take a stream up until this multiple of the longest timeout of a resumable route after its start. */
const LIFE_TIMEOUTS = 2;
/** The oldest origins are dropped beyond this number. */
const MAX_ORIGINS = 50_000;

/** The service and the software version that began a stream. */
export interface StreamOrigin {
  readonly service: string;
  readonly softwareVersion: string;
  /** Time at which this VM learned of it. */
  readonly atMs: number;
  /** True if this VM has begun it, or has found which version did; false if another VM has written it. */
  readonly isOwn: boolean;
}

/** Streams that one software version of a service has begun, as VMs write them to the store. */
export interface StreamGroup {
  readonly service: string;
  readonly softwareVersion: string;
  /** Time at which the version was last in service. */
  readonly seenAtMs: number;
  /** Digests of the callers' ids, as `createStreamDigest` returns them. */
  readonly streams: readonly string[];
}

/** The table. Mutable. */
export interface StreamOrigins {
  /** Time after its start for which a stream may be taken up; 0 without a resumable route. */
  lifeMs: number;
  /** By digest, the oldest first. */
  readonly byStream: Map<string, StreamOrigin>;
  /** Time at which each software version was last in service, by service. */
  readonly versionsByService: Map<string, Map<string, number>>;
}

/** Creates an empty table. */
export function createStreamOrigins(): StreamOrigins {
  return { lifeMs: 0, byStream: new Map(), versionsByService: new Map() };
}

/** Computes the name of a stream from the caller's id of the request that brought its first event. */
export function createStreamDigest(callerRequestId: string): string {
  return createHash('sha256').update(callerRequestId).digest('hex').slice(0, DIGEST_LENGTH);
}

/** Returns the time after its start for which a stream of a deployment may be taken up. */
export function getStreamLifeMs({ routesByHost }: Deployment): number {
  return [...routesByHost.values()]
    .flat()
    .filter(({ isResumable, kind }) => isResumable && kind === RouteKind.Stream)
    .reduce((lifeMs, { timeoutMs }) => Math.max(lifeMs, timeoutMs * LIFE_TIMEOUTS), 0);
}

/** Adds the origin of a stream. Returns false if it is known. */
export function addStreamOrigin(
  { byStream }: StreamOrigins,
  digest: string,
  origin: StreamOrigin,
): boolean {
  if (byStream.has(digest)) {
    return false;
  }
  byStream.set(digest, origin);
  if (byStream.size > MAX_ORIGINS) {
    const [oldest = ''] = byStream.keys();
    byStream.delete(oldest);
  }
  return true;
}

/** Records that a software version of a service was in service at a time. */
export function recordVersionSeen(
  { versionsByService }: StreamOrigins,
  service: string,
  softwareVersion: string,
  seenAtMs: number,
): void {
  const versions = versionsByService.get(service) ?? new Map<string, number>();
  versions.set(softwareVersion, Math.max(seenAtMs, versions.get(softwareVersion) ?? seenAtMs));
  versionsByService.set(service, versions);
}

/** Returns the versions of a service that may have begun a stream which can still be taken up. */
export function listRecentVersions(
  { lifeMs, versionsByService }: StreamOrigins,
  service: string,
  nowMs: number,
): string[] {
  return [...(versionsByService.get(service) ?? [])]
    .filter(([, seenAtMs]) => nowMs - seenAtMs <= lifeMs)
    .map(([softwareVersion]) => softwareVersion);
}

/** Returns whether streams of several versions of a service may be taken up. */
export function isMixed(origins: StreamOrigins, service: string, nowMs: number): boolean {
  return listRecentVersions(origins, service, nowMs).length > 1;
}

/** Drops streams that can no longer be taken up, and versions that have begun none of the others. */
export function expireStreamOrigins(origins: StreamOrigins, nowMs: number): void {
  const { byStream, lifeMs, versionsByService } = origins;
  for (const [digest, { atMs }] of byStream) {
    if (nowMs - atMs <= lifeMs) {
      break;
    }
    byStream.delete(digest);
  }
  versionsByService.forEach((versions, service) => {
    versions.forEach((seenAtMs, softwareVersion) => {
      if (nowMs - seenAtMs > lifeMs) {
        versions.delete(softwareVersion);
      }
    });
    if (versions.size === 0) {
      versionsByService.delete(service);
    }
  });
}

/** Groups streams by their services and versions, with all recent versions of each of those services. */
export function groupStreams(origins: StreamOrigins, digests: readonly string[]): StreamGroup[] {
  const known = digests.flatMap((digest) => {
    const origin = origins.byStream.get(digest);
    return origin === undefined ? [] : [{ digest, ...origin }];
  });
  const services = [...new Set(known.map(({ service }) => service))];
  return services.flatMap((service) =>
    [...(origins.versionsByService.get(service) ?? [])].map(([softwareVersion, seenAtMs]) => ({
      service,
      softwareVersion,
      seenAtMs,
      streams: known
        .filter((item) => item.service === service && item.softwareVersion === softwareVersion)
        .map(({ digest }) => digest),
    })),
  );
}

/** Merges the streams and versions that VMs have written. */
export function mergeStreamGroups(
  origins: StreamOrigins,
  groups: readonly StreamGroup[],
  nowMs: number,
): void {
  groups.forEach(({ seenAtMs, service, softwareVersion, streams }) => {
    recordVersionSeen(origins, service, softwareVersion, Math.min(seenAtMs, nowMs));
    streams.forEach((digest) =>
      addStreamOrigin(origins, digest, { service, softwareVersion, atMs: nowMs, isOwn: false }),
    );
  });
}

/** Returns a group with its times moved, to make them relative to another start. */
export function shiftStreamGroup(group: StreamGroup, shiftMs: number): StreamGroup {
  return { ...group, seenAtMs: group.seenAtMs + shiftMs };
}
