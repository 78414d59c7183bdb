/**
 * Tracks the demand at this VM, in tokens per second, by name: the name of a workspace, or the key of a service's model
 * or adapter. Each value is an exponentially decaying average.
 */

const MS_PER_SECOND = 1000;
/** Entries whose demand has decayed below this are removed. */
const MIN_TOKENS_PER_SECOND = 0.5;

interface DemandEntry {
  tokensPerSecond: number;
  updatedAtMs: number;
}

/** Demand by name. Mutable; only the event loop changes it. */
export interface DemandTable {
  readonly entries: Map<string, DemandEntry>;
  /** Time constant of the decay. A shorter one follows bursts, a longer one smooths the gaps between requests. */
  readonly decayMs: number;
}

/** Creates an empty table. */
export function createDemandTable(decayMs: number): DemandTable {
  return { entries: new Map(), decayMs };
}

function decay(entry: DemandEntry, decayMs: number, nowMs: number): void {
  entry.tokensPerSecond *= Math.exp((entry.updatedAtMs - nowMs) / decayMs);
  entry.updatedAtMs = nowMs;
}

/** Adds the tokens of one request to the demand for a name. */
export function addDemand(table: DemandTable, name: string, tokens: number, nowMs: number): void {
  const entry = table.entries.get(name) ?? { tokensPerSecond: 0, updatedAtMs: nowMs };
  decay(entry, table.decayMs, nowMs);
  entry.tokensPerSecond += (tokens * MS_PER_SECOND) / table.decayMs;
  table.entries.set(name, entry);
}

/** Returns the current demand for a name. */
export function getDemand(table: DemandTable, name: string, nowMs: number): number {
  const entry = table.entries.get(name);
  return entry === undefined
    ? 0
    : entry.tokensPerSecond * Math.exp((entry.updatedAtMs - nowMs) / table.decayMs);
}

/** Returns the current demand of each name, and removes the entries that have decayed below the minimum. */
export function listDemands(
  table: DemandTable,
  nowMs: number,
): { readonly name: string; readonly tokensPerSecond: number }[] {
  return [...table.entries.entries()].flatMap(([name, entry]) => {
    decay(entry, table.decayMs, nowMs);
    if (entry.tokensPerSecond < MIN_TOKENS_PER_SECOND) {
      table.entries.delete(name);
      return [];
    }
    return [{ name, tokensPerSecond: entry.tokensPerSecond }];
  });
}
