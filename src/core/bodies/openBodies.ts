import type { BodyProgress } from "./bodyProgress.js";
import { pickBodyToEnd } from "./pickBodyToEnd.js";

/** A body that is being read. */
interface EndableBody {
    readonly progress: BodyProgress;
    /** Ends its request, and releases what it holds. */
    readonly end: (cause: "body-stalled" | "body-shed") => void;
}

/** A well-behaved caller sends a body without pauses; the rest allows for one or two lost segments. */
const SHED_IDLE_MS = 500;

/**
 * Bodies that are being read. Time is the sum of the periods between checks, so that a body does not look idle because the event
 * loop was delayed and nothing has been read.
 */
export class OpenBodies {
    readonly #bodies = new Map<BodyProgress, EndableBody["end"]>();
    #now = 0;

    /** Creates a set without bodies. */
    static create(): OpenBodies {
        return new OpenBodies();
    }

    /** Sum of the periods between checks in milliseconds. */
    get now(): number {
        return this.#now;
    }

    /** Adds a body. */
    add({ progress, end }: EndableBody): void {
        this.#bodies.set(progress, end);
    }

    /** Removes a body that has arrived, or whose request has ended. */
    delete(progress: BodyProgress): void {
        this.#bodies.delete(progress);
    }

    /** Sums up the memory in bytes of the bodies that `tryEndOne` may end. */
    sumEndableBytes(): number {
        let bytes = 0;
        for (const { heldBytes, progressedAt } of this.#bodies.keys()) {
            bytes += this.#now - progressedAt >= SHED_IDLE_MS ? heldBytes : 0;
        }
        return bytes;
    }

    /** Ends the body that holds most and progresses least. Returns false if none has been without progress for a while. */
    tryEndOne(): boolean {
        const progress = pickBodyToEnd(this.#bodies.keys(), this.#now, SHED_IDLE_MS);
        if (!progress) {
            return false;
        }
        this.#end(progress, "body-shed");
        return true;
    }

    /** Advances the time by the period between two checks, and ends the bodies of which no byte has arrived for `maxIdleMs`. */
    advance(periodMs: number, maxIdleMs: number): void {
        this.#now += periodMs;
        for (const progress of this.#bodies.keys()) {
            if (this.#now - progress.arrivedAt > maxIdleMs) {
                this.#end(progress, "body-stalled");
            }
        }
    }

    #end(progress: BodyProgress, cause: "body-stalled" | "body-shed"): void {
        const end = this.#bodies.get(progress);
        this.#bodies.delete(progress);
        end?.(cause);
    }
}
