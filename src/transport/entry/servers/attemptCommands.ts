/**
 * The commands that start attempts.
 */
import type { EntryCommandKind, EntryCommandOf } from '../../../coordination/entry/commands.js';

export type DispatchCommand = EntryCommandOf<typeof EntryCommandKind.Dispatch>;
export type PassCommand = EntryCommandOf<typeof EntryCommandKind.Pass>;
/** The commands that start attempts, at a backend server or at another VM. */
export type SendCommand = DispatchCommand | PassCommand;
