/**
 * How benchmarks report: one JSON line a figure.
 */

/** One measured figure. `target` is null where none is stated. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly target: number | null;
}

const DIGITS = 1_000;

/** Prints a figure. */
export function printFigure(
  name: string,
  value: number,
  unit: string,
  target: number | null = null,
): void {
  const figure: Figure = { name, value: Math.round(value * DIGITS) / DIGITS, unit, target };
  process.stdout.write(`${JSON.stringify(figure)}\n`);
}

/** Returns a quantile of a list; 0 for an empty one. */
export function getQuantile(values: readonly number[], quantile: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * quantile));
  return sorted[index] ?? 0;
}
