/**
 * Preloaded into every `ChildProcess`: ends it when its parent process ends, even by SIGKILL, after which
 * no exit handler of the parent runs.
 */
const CHECK_INTERVAL_MS = 500;
const parent = process.ppid;

setInterval(() => {
    if (process.ppid !== parent) {
        process.kill(process.pid, "SIGKILL");
    }
}, CHECK_INTERVAL_MS).unref();
