/** The version that the daemon and the command-line tool report. */
export const VERSION = '0.1.0';
