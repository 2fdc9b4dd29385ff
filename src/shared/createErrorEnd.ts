interface ErrorEndOptions {
    readonly log: {
        readonly write: (event: string, fields: object) => void;
        readonly close: () => Promise<void>;
    };
    /** Returns whether callers still get answers. */
    readonly isServing: () => Promise<boolean>;
    /** Ends the open requests with the answers that are still possible, within a time in milliseconds. */
    readonly endRequests: (timeoutMs: number) => Promise<void>;
    readonly exit: () => void;
}

/** Covers the last responses and the last lines of the log; the process may be unable to complete either. */
const END_TIMEOUT_MS = 500;

/**
 * Creates the function that is called for too many unexpected errors. It ends the process, once, if that serves no more: what a
 * single caller, target or peer can bring about must not end the requests of all others, and would come back after each new start.
 */
export function createErrorEnd({ log, isServing, endRequests, exit }: ErrorEndOptions): () => void {
    let isBusy = false;
    const logFailure = (error: unknown): void =>
        log.write("internal-error", { source: "end", reason: String(error) });
    const end = async (): Promise<void> => {
        if (await isServing()) {
            log.write("service-checked", { reason: "too-many-errors", isServing: true });
            isBusy = false;
            return;
        }
        setTimeout(exit, END_TIMEOUT_MS);
        log.write("stopped", { reason: "too-many-errors" });
        await endRequests(END_TIMEOUT_MS).catch(logFailure);
        await log.close();
        exit();
    };
    return () => {
        if (!isBusy) {
            isBusy = true;
            end().catch(error => {
                isBusy = false;
                logFailure(error);
            });
        }
    };
}
