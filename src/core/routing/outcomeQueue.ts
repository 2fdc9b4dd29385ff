import type { PromptCrash } from "./promptCrash.js";
import type { PromptOutcome } from "./promptOutcome.js";

interface QueuedOutcome extends PromptCrash {
    readonly partId: string;
    readonly outcome: PromptOutcome[1];
}

/** Outcomes in one report, to keep datagrams small; the rest wait for the next one. */
const MAX_REPORTED = 60;
const MAX_QUEUED = 1000;
/** Crashes that block a part are reported again, for instances that have missed them or have just started. */
const REPEAT_MS = 1000;

/** Outcomes of prompt parts that one group of receivers has not been told yet. */
export class OutcomeQueue {
    #queued: QueuedOutcome[] = [];
    /** Monotonic time in milliseconds. */
    #nextRepeatAt = 0;

    /** Creates an empty queue. */
    static create(): OutcomeQueue {
        return new OutcomeQueue();
    }

    /** Adds an outcome; the oldest ones are dropped while nobody takes any. */
    add(outcome: QueuedOutcome): void {
        this.#queued.push(outcome);
        this.#queued.splice(0, Math.max(0, this.#queued.length - MAX_QUEUED));
    }

    /**
     * Takes the outcomes for the next report; `undefined` if there are none.
     *
     * @param listRepeated Lists the outcomes that are reported periodically.
     */
    take(now: number, listRepeated: () => readonly QueuedOutcome[]): readonly PromptOutcome[] | undefined {
        if (now >= this.#nextRepeatAt) {
            this.#nextRepeatAt = now + REPEAT_MS;
            this.#queued.push(...listRepeated());
        }
        if (this.#queued.length === 0) {
            return undefined;
        }
        return this.#queued.splice(0, MAX_REPORTED).map(({ partId, outcome, sentAt, endedAt }) =>
            [
                partId,
                outcome,
                Math.max(0, Math.round(now - sentAt)),
                Math.max(0, Math.round(now - endedAt)),
            ] as const
        );
    }
}
