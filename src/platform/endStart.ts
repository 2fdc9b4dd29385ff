import { PortError } from "../core/errors/portError.js";
import { StartStoppedError } from "../core/errors/startStoppedError.js";
import type { LogSink } from "../router/logSink.js";

interface EndStartOptions {
    readonly log: Pick<LogSink, "write" | "close">;
    /** Ends the open requests with the answers that are still possible, within a time in milliseconds. */
    readonly endRequests: (timeoutMs: number) => Promise<void>;
    readonly exit: (code: number) => void;
}

const START_FAILED_EXIT_CODE = 2;
/** Covers the last responses and the last lines of the log. */
const END_TIMEOUT_MS = 500;

/** Ends a process that did not start, or cannot follow the store any more, with the reason in the log and on standard error. */
export async function endStart(error: unknown, { log, endRequests, exit }: EndStartOptions): Promise<void> {
    if (error instanceof StartStoppedError) {
        log.write("stopped", { reason: error.code });
        await log.close();
        exit(0);
        return;
    }
    const port = error instanceof PortError ? { server: error.server, address: error.address } : {};
    const fields = { ...port, reason: String(error) };
    log.write("start-failed", fields);
    process.stderr.write(`${JSON.stringify({ event: "start-failed", ...fields })}\n`);
    setTimeout(() => exit(START_FAILED_EXIT_CODE), END_TIMEOUT_MS);
    await endRequests(END_TIMEOUT_MS)
        .catch((endError: unknown) =>
            log.write("internal-error", { source: "end", reason: String(endError) })
        );
    await log.close();
    exit(START_FAILED_EXIT_CODE);
}
