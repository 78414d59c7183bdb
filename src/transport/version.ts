/** The version that both programs report. */
export const VERSION = '0.1.0';
