/**
 * Prints the results of benchmarks, one JSON object per line.
 */

/** One result of a benchmark. `target` is the value to reach, or null if there is none. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly target: number | null;
}

const ROUNDING_FACTOR = 1_000;

/** Prints a figure as one line of JSON, with its value rounded to three decimals. */
export function printFigure(
  name: string,
  value: number,
  unit: string,
  target: number | null = null,
): void {
  const figure: Figure = {
    name,
    value: Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR,
    unit,
    target,
  };
  process.stdout.write(`${JSON.stringify(figure)}\n`);
}

/** Returns a quantile of the values, or 0 if there are none. */
export function getQuantile(values: readonly number[], quantile: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * quantile));
  return sorted[index] ?? 0;
}
