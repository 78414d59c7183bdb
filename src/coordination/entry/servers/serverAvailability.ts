/**
 * Decides whether a backend server may get a request of this VM now, and why not. All dispatches ask here, also those of
 * retries and resumed streams.
 */
import type { Backend } from '../../../state/entry/backends.js';
import { hasColdPermit } from './coldServers.js';
import { isPaused, isResuming } from './serverPauses.js';
import { hasPermit } from '../limits/serverLimits.js';
import { hasPlace } from '../limits/serverPlaces.js';

/** Why a server may not get a request now. */
export const Obstacle = {
  Leaving: 'leaving',
  /** Its failure domain is evacuated. */
  Evacuated: 'evacuated',
  /** Its process has crashed and has not registered again. */
  Crashed: 'crashed',
  /** It has asked this VM for a pause. */
  Paused: 'paused',
  /** Its pause has just ended, and it has just got a request. */
  Resuming: 'resuming',
  /** Its request limit leaves this VM no request now. */
  NoPermit: 'noPermit',
  /** It is cold, and leaves this VM no request now. */
  NoColdPermit: 'noColdPermit',
  /** It is brittle, and full or without a place for this VM now. */
  NoPlace: 'noPlace',
} as const;
export type Obstacle = (typeof Obstacle)[keyof typeof Obstacle];

type ObstacleCheck = (backend: Backend, nowMs: number) => boolean;

const CHECKS: Readonly<Record<Obstacle, ObstacleCheck>> = {
  [Obstacle.Leaving]: ({ isLeaving }) => isLeaving,
  [Obstacle.Evacuated]: ({ isEvacuated }) => isEvacuated,
  [Obstacle.Crashed]: ({ crashedUntilMs }, nowMs) => crashedUntilMs > nowMs,
  [Obstacle.Paused]: isPaused,
  [Obstacle.Resuming]: isResuming,
  [Obstacle.NoPermit]: (backend, nowMs) => !hasPermit(backend, nowMs),
  [Obstacle.NoColdPermit]: (backend, nowMs) => !hasColdPermit(backend, nowMs),
  [Obstacle.NoPlace]: (backend, nowMs) => !hasPlace(backend, nowMs),
};

/** Obstacles that a request cannot wait for. */
const LASTING_OBSTACLES: ReadonlySet<Obstacle> = new Set([
  Obstacle.Leaving,
  Obstacle.Evacuated,
  Obstacle.Crashed,
]);

const OBSTACLES = Object.values(Obstacle);

/** Returns the first reason for which a server may not get a request now; null if it may. */
export function findObstacle(backend: Backend, nowMs: number): Obstacle | null {
  return OBSTACLES.find((obstacle) => CHECKS[obstacle](backend, nowMs)) ?? null;
}

/** Returns whether a request may be sent to a server now, or may wait for it. */
export function isEligible(backend: Backend, nowMs: number): boolean {
  const obstacle = findObstacle(backend, nowMs);
  return obstacle === null || !LASTING_OBSTACLES.has(obstacle);
}

/** Formats the reasons for which some servers may not get a request now, as `reason=count`. */
export function formatObstacles(servers: readonly Backend[], nowMs: number): string {
  const counts = new Map<Obstacle, number>();
  servers.forEach((backend) => {
    const obstacle = findObstacle(backend, nowMs);
    if (obstacle !== null) {
      counts.set(obstacle, (counts.get(obstacle) ?? 0) + 1);
    }
  });
  return [...counts].map(([obstacle, count]) => `${obstacle}=${count}`).join(' ');
}
