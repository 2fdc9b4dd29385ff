import { PortError } from "../core/errors/portError.js";
import { StartStoppedError } from "../core/errors/startStoppedError.js";
import type { LogSink } from "../router/logSink.js";

interface EndStartOptions {
    readonly log: Pick<LogSink, "write" | "close">;
    readonly exit: (code: number) => void;
}

const START_FAILED_EXIT_CODE = 2;

/** Ends a process that did not start, with the reason in the log and on standard error. */
export async function endStart(error: unknown, { log, exit }: EndStartOptions): Promise<void> {
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
    await log.close();
    exit(START_FAILED_EXIT_CODE);
}
