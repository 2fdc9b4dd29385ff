import type { CallerResponse } from "./callerResponse.js";
import type { ForwardAttempt } from "./forwardAttempt.js";

/** Run of a silent target that was set aside while another one is tried. */
export interface SuspendedAttempt {
    readonly attempt: ForwardAttempt;
    readonly run: ReturnType<CallerResponse["pauseRun"]>;
    /** Monotonic time in milliseconds; infinite until a byte of the request can have reached the target in its place. */
    readonly until: number;
}
