/**
 * Starts `gentiandeck-entry`. Signals are held before the rest of the program is loaded, which takes most of the time of a start.
 */
import '../transport/entry/processSignals.js';

await import('./entryProgram.js');
