/**
 * Preloaded into every process that a test starts: ends it when the test process ends, even by SIGKILL, after which
 * no exit handler of the test process runs.
 */
const CHECK_INTERVAL_MS = 500;
const parent = process.ppid;

setInterval(() => {
    if (process.ppid !== parent) {
        process.kill(process.pid, "SIGKILL");
    }
}, CHECK_INTERVAL_MS).unref();
