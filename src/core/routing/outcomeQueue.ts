import type { CrashOutcome } from "./crashOutcome.js";
import type { TargetCrash } from "./targetCrash.js";

interface QueuedOutcome extends TargetCrash {
    readonly key: string;
    readonly outcome: CrashOutcome[1];
}

/** Outcomes in one report, to keep datagrams small; the rest wait for the next one. */
const MAX_REPORTED = 60;
const MAX_QUEUED = 1000;
/** Recent crashes, and those for which requests are refused, are reported again to instances that do not know them. */
const REPEAT_MS = 1000;

/** Outcomes of crash keys that one group of receivers has not been told yet. */
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
    take(now: number, listRepeated: () => readonly QueuedOutcome[]): readonly CrashOutcome[] | undefined {
        // While the queue is long, the outcomes in it have not been reported once.
        if (now >= this.#nextRepeatAt && this.#queued.length < MAX_REPORTED) {
            this.#nextRepeatAt = now + REPEAT_MS;
            listRepeated().forEach(outcome => this.add(outcome));
        }
        if (this.#queued.length === 0) {
            return undefined;
        }
        return this.#queued.splice(0, MAX_REPORTED).map(({ key, outcome, sentAt, endedAt, targetId }) =>
            [
                key,
                outcome,
                Math.max(0, Math.round(now - sentAt)),
                Math.max(0, Math.round(now - endedAt)),
                targetId,
            ] as const
        );
    }
}
