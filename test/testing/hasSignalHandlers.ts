import { readFileSync } from "node:fs";
import { constants } from "node:os";

/** Returns whether a process has handlers of all given signals. Node.js has some of SIGINT and SIGTERM, which end it. */
export function hasSignalHandlers(pid: number | undefined, signals: readonly NodeJS.Signals[]): boolean {
    const status = readFileSync(`/proc/${String(pid)}/status`, "utf8");
    const caught = BigInt(`0x${/^SigCgt:\s*([0-9a-f]+)$/mu.exec(status)?.[1] ?? "0"}`);
    return signals.every(signal => (caught >> BigInt(constants.signals[signal] - 1) & 1n) === 1n);
}
