/**
 * Demand as this VM sees it: tokens a second by name, each a decaying mean.
 */

const MS_PER_SECOND = 1000;
/** A demand below this is dropped. */
const MIN_TOKENS_PER_SECOND = 0.5;

interface DemandEntry {
  tokensPerSecond: number;
  updatedAtMs: number;
}

/** Mutable; owned by the loop. */
export interface DemandTable {
  readonly entries: Map<string, DemandEntry>;
  /** Time constant of the mean. Shorter follows bursts, longer ignores the gaps between requests. */
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

/** Adds what one request asks for. */
export function addDemand(table: DemandTable, name: string, tokens: number, nowMs: number): void {
  const entry = table.entries.get(name) ?? { tokensPerSecond: 0, updatedAtMs: nowMs };
  decay(entry, table.decayMs, nowMs);
  entry.tokensPerSecond += (tokens * MS_PER_SECOND) / table.decayMs;
  table.entries.set(name, entry);
}

/** Returns the demand for a name now. */
export function getDemand(table: DemandTable, name: string, nowMs: number): number {
  const entry = table.entries.get(name);
  return entry === undefined
    ? 0
    : entry.tokensPerSecond * Math.exp((entry.updatedAtMs - nowMs) / table.decayMs);
}

/** Lists all demands now, and forgets those that have faded. */
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
