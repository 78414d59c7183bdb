/**
 * Starts `gentiandeck-entry`. Signals are held before the rest of the program is loaded, which takes most of the time of a start.
 * The build makes this module a CommonJS file, which Node.js loads sooner than an ES module.
 */
import '../transport/entry/lifecycle/processSignals.js';

void import('./entryProgram.js');
