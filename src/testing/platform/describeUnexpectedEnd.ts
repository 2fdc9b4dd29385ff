import type { ChildProcess } from "../childProcess.js";
import { stopSignals } from "./stopSignals.js";

/** Describes the end of a router process that nothing asked for, or a stop that failed; `undefined` for any other end. */
export function describeUnexpectedEnd(
    signals: ChildProcess["signals"],
    { code, signal }: Awaited<ChildProcess["ended"]>,
): string | undefined {
    const isStopped = signals.some(other => stopSignals.includes(other));
    if (signals.includes("SIGKILL") || (isStopped && code === 0)) {
        return undefined;
    }
    const end = signal === null ? `with code ${code}` : `by ${signal}`;
    const sent = signals.length > 0 ? ` after ${signals.join(", ")}` : "";
    return `${isStopped ? "the stop ended" : "the process ended by itself"} ${end}${sent}`;
}
