import type { OpenBody } from "./openBody.js";

/** Bytes that count as progress. Fewer would let a caller that sends a byte now and then hold its memory. */
const PROGRESS_BYTES = 1024;

/** What is known about the arrival of a body; times are monotonic milliseconds. */
export class BodyProgress implements OpenBody {
    #heldBytes = 0;
    #newBytes = 0;
    #progressedAt: number;
    #arrivedAt: number;

    private constructor(startedAt: number) {
        this.#progressedAt = startedAt;
        this.#arrivedAt = startedAt;
    }

    /** Creates the state of a body of which nothing has arrived. */
    static create(startedAt: number): BodyProgress {
        return new BodyProgress(startedAt);
    }

    get heldBytes(): number {
        return this.#heldBytes;
    }

    get progressedAt(): number {
        return this.#progressedAt;
    }

    /** Time at which the last byte of the content arrived; extensions of chunks and trailers are no content. */
    get arrivedAt(): number {
        return this.#arrivedAt;
    }

    /** Records a part of the content, and the memory that the body holds with it. */
    record(partBytes: number, heldBytes: number, now: number): void {
        this.#heldBytes = heldBytes;
        this.#arrivedAt = now;
        this.#newBytes += partBytes;
        if (this.#newBytes >= PROGRESS_BYTES) {
            this.#newBytes = 0;
            this.#progressedAt = now;
        }
    }
}
