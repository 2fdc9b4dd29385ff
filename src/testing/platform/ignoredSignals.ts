/** Signals whose default action ends a process, though they do not ask for a stop. */
export const ignoredSignals: readonly NodeJS.Signals[] = [
    "SIGHUP",
    "SIGUSR1",
    "SIGUSR2",
    "SIGALRM",
    "SIGVTALRM",
    "SIGXCPU",
    "SIGXFSZ",
    "SIGIO",
    "SIGSTKFLT",
    "SIGPROF",
];
