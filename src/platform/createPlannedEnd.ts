import type { LogSink } from "../router/logSink.js";

interface PlannedEndOptions {
    readonly log: Pick<LogSink, "write" | "close">;
    /** Finishes the open requests and closes all servers. */
    readonly stop: () => Promise<void>;
    readonly exit: (code: number) => void;
}

const INTERNAL_ERROR_EXIT_CODE = 1;

/** Creates the function that stops the process as planned, once, and ends it also if the stop fails. */
export function createPlannedEnd({ log, stop, exit }: PlannedEndOptions): () => void {
    let ended: Promise<void> | undefined;
    const end = async (): Promise<void> => {
        let code = 0;
        try {
            await stop();
        }
        catch (error) {
            log.write("internal-error", { source: "stop", reason: String(error) });
            code = INTERNAL_ERROR_EXIT_CODE;
        }
        await log.close();
        exit(code);
    };
    return () => void (ended ??= end());
}
