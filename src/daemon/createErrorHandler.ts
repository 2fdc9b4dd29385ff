import { ErrorSeries } from "../shared/errorSeries.js";
import type { DaemonContext } from "./daemonContext.js";

interface ErrorHandlerOptions extends Pick<DaemonContext, "logger" | "metrics" | "getNow"> {
    /** Called when errors come so often that the daemon may not serve any more. */
    readonly onTooMany: () => void;
}

/** Characters of a stack trace in a log line. */
const MAX_STACK_LENGTH = 1000;

/**
 * Returns a function that records an error that no handler has caught. The daemon stays: what one caller, target or peer can
 * bring about must not end the requests of all others, and would come back after each new start.
 */
export function createErrorHandler(
    { logger, metrics, getNow, onTooMany }: ErrorHandlerOptions,
): (source: string, error: unknown) => void {
    const series = ErrorSeries.create();
    return (source, error) => {
        const stack = error instanceof Error ? error.stack ?? error.message : String(error);
        metrics.count("internal_errors_total", { source });
        logger.error("internal-error", { source, reason: stack.slice(0, MAX_STACK_LENGTH) });
        if (series.record(getNow())) {
            onTooMany();
        }
    };
}
