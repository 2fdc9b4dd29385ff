import type { CrashOutcome } from "./crashOutcome.js";
import { OutcomeQueue } from "./outcomeQueue.js";

type QueuedOutcome = Parameters<OutcomeQueue["add"]>[0];

/** Outcomes of crash keys that the three groups of receivers have not been told yet. */
export class CrashReports {
    readonly #queues = {
        /** Peers in the data centre, about what this instance has seen. */
        "peers": OutcomeQueue.create(),
        "remote": OutcomeQueue.create(),
        /** All instances of the data centre, if this instance sends its summary. */
        "data-centre": OutcomeQueue.create(),
    };

    /** Creates queues without outcomes. */
    static create(): CrashReports {
        return new CrashReports();
    }

    /** Adds an outcome; `isOwn` is false if it comes from a report of a peer in the data centre. */
    add(outcome: QueuedOutcome, isOwn: boolean): void {
        if (isOwn) {
            this.#queues.peers.add(outcome);
        }
        this.#queues.remote.add(outcome);
        this.#queues["data-centre"].add(outcome);
    }

    /**
     * Takes the outcomes for the next report; `undefined` if there are none.
     *
     * @param listRepeated Lists the outcomes that are reported periodically.
     */
    take(
        receivers: "peers" | "remote" | "data-centre",
        now: number,
        listRepeated: () => readonly QueuedOutcome[],
    ): readonly CrashOutcome[] | undefined {
        return this.#queues[receivers].take(now, listRepeated);
    }
}
