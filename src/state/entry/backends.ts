/**
 * The backend servers as they register themselves, and what this VM has seen of each.
 */

/** A model that an engine holds, with the adapters on it. */
export interface ResidentModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** What a backend server says of itself. */
export interface BackendEntry {
  readonly id: string;
  /** Wall clock time of its start; with the id it names one life of the server. */
  readonly bornAtWallMs: number;
  readonly service: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Time until the server is gone, if it is taken away at short notice. */
  readonly leavesInMs: number | null;
  readonly models: readonly ResidentModel[];
  /** Models whose weights are copied in the engine's host memory or on its disk. */
  readonly hostCopies: readonly string[];
  readonly diskCopies: readonly string[];
}

/** A backend server as one VM knows it. Mutable; owned by the loop. */
export interface Backend {
  entry: BackendEntry;
  /** Store revision of the entry; a later one replaces it. */
  revision: number;
  /** When a removed entry stops counting; null while it is registered. */
  removeAtMs: number | null;
  /** Requests of this VM that are under way there. */
  inFlight: number;
  /** Tokens of their prompts that the server has not read yet. */
  unreadTokens: number;
  /** How fast it reads prompts, as far as is known; null before the first sample. */
  readMsPerToken: number | null;
  /** Requests of other VMs, from the load that answers tell. */
  otherRequests: number;
  loadSeenAtMs: number;
  /** Moving part of dispatches that failed, in [0, 1]. */
  failurePart: number;
  /** Not used before this time unless no other is left. */
  avoidUntilMs: number;
  /** Models and adapters that the server has just said it lacks, with the end of that belief. */
  readonly missing: Map<string, number>;
  /** Adapters that the controller reports as loaded, ahead of the entry, as `model/adapter`. */
  orderedAdapters: Set<string>;
}

/** Creates the record of a server that has just been seen. */
export function createBackend(entry: BackendEntry, revision: number): Backend {
  return {
    entry,
    revision,
    removeAtMs: null,
    inFlight: 0,
    unreadTokens: 0,
    readMsPerToken: null,
    otherRequests: 0,
    loadSeenAtMs: Number.NEGATIVE_INFINITY,
    failurePart: 0,
    avoidUntilMs: Number.NEGATIVE_INFINITY,
    missing: new Map(),
    orderedAdapters: new Set(),
  };
}

/** Names a model or an adapter on it. */
export function getVariantKey(model: string, adapter: string | null): string {
  return adapter === null ? model : `${model}/${adapter}`;
}

/** Finds a model that an engine holds. */
export function findResident(entry: BackendEntry, model: string): ResidentModel | undefined {
  return entry.models.find((resident) => resident.name === model);
}

/** Tells whether an engine can run a model, or an adapter on it, as far as this VM knows. */
export function holdsVariant(
  backend: Backend,
  model: string,
  adapter: string | null,
  nowMs: number,
): boolean {
  const resident = findResident(backend.entry, model);
  if (resident === undefined) {
    return false;
  }
  const key = getVariantKey(model, adapter);
  if ((backend.missing.get(key) ?? backend.missing.get(model) ?? 0) > nowMs) {
    return false;
  }
  return (
    adapter === null || resident.adapters.includes(adapter) || backend.orderedAdapters.has(key)
  );
}

/** Tells whether two entries are of the same life of a server. */
export function isSameLife(a: BackendEntry, b: BackendEntry): boolean {
  return a.id === b.id && a.bornAtWallMs === b.bornAtWallMs;
}
