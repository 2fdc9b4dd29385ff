import type { LoadStatement } from "../core/targetSpeed/loadStatement.js";

/** Running and waiting requests, slots, and optionally how long work takes, in percent of the usual time. */
const FORMAT = /^(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(\d{1,9}))?$/;
/** Ratios beyond these bounds are taken for them. */
const MIN_RATIO = 0.25;
const MAX_RATIO = 10;
const PERCENT = 100;

/** Decodes the value of `Server-Load`. Returns `undefined` if there is none, or if it is malformed or implausible. */
export function parseServerLoad(text: string | undefined): LoadStatement | undefined {
    const match = text === undefined ? undefined : FORMAT.exec(text.replaceAll(" ", ""));
    const [running, waiting, slots, percent] = match?.slice(1) ?? [];
    if (Number(slots ?? 0) === 0 || Number(percent ?? PERCENT) === 0) {
        return undefined;
    }
    return {
        runningRequests: Number(running),
        waitingRequests: Number(waiting),
        slots: Number(slots),
        workTimeRatio: percent === undefined
            ? undefined
            : Math.min(MAX_RATIO, Math.max(MIN_RATIO, Number(percent) / PERCENT)),
    };
}
