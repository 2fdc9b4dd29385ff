/** Signals that ask a router process for a planned stop. */
export const stopSignals: readonly NodeJS.Signals[] = ["SIGTERM", "SIGINT", "SIGQUIT", "SIGPWR"];
