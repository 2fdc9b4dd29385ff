import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { StartStoppedError } from "../core/errors/startStoppedError.js";

interface ReadOptions {
    /** Monotonic time in milliseconds until which the file is read again. */
    readonly deadline: number;
    /** Ends the wait, because the process is to stop. */
    readonly stopSignal: AbortSignal;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Called once, when the wait begins. */
    readonly onWait: (reason: "unreadable" | "not-whole") => void;
}

const READ_INTERVAL_MS = 25;

/**
 * Reads a JSON file that may be in the middle of being written or replaced. The text is returned as it is after the deadline.
 *
 * @throws Error of the file system when the file still cannot be read after the deadline.
 * @throws StartStoppedError when the process is to stop.
 */
export async function readWholeJson(
    path: string,
    { deadline, stopSignal, getNow, onWait }: ReadOptions,
): Promise<string> {
    for (let isFirst = true;; isFirst = false) {
        if (stopSignal.aborted) {
            throw StartStoppedError.create();
        }
        const isLast = getNow() >= deadline;
        const text = readText(path, isLast);
        if (text !== undefined && (isLast || isWholeJson(text))) {
            return text;
        }
        if (isFirst) {
            onWait(text === undefined ? "unreadable" : "not-whole");
        }
        // An aborted wait is noticed at the beginning of the next turn.
        await sleep(READ_INTERVAL_MS, undefined, { signal: stopSignal }).catch(() => undefined);
    }
}

/** Returns `undefined` if the file cannot be read and may still be replaced, or descriptors may come free. */
function readText(path: string, isLast: boolean): string | undefined {
    try {
        return readFileSync(path, "utf8");
    }
    catch (error) {
        if (isLast) {
            throw error;
        }
        return undefined;
    }
}

function isWholeJson(text: string): boolean {
    try {
        JSON.parse(text);
        return true;
    }
    catch {
        return false;
    }
}
