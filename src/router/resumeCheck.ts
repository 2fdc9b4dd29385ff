import type { ResponseHead } from "./responseHead.js";

interface ResumeCheckOptions {
    /** Head of the first run, which the caller has got. */
    readonly firstHead: ResponseHead;
    /** True if the run before ended within an event, so that the stream has at least one more. */
    readonly isMoreExpected: boolean;
}

const OK = 200;

/** Checks that a later run of a stream goes on where the run before ended, before any byte of it reaches the caller. */
export class ResumeCheck {
    readonly #options: ResumeCheckOptions;
    #hasEvents = false;

    private constructor(options: ResumeCheckOptions) {
        this.#options = options;
    }

    /** Creates the check of one run. */
    static create(options: ResumeCheckOptions): ResumeCheck {
        return new ResumeCheck(options);
    }

    /** Returns whether the run has begun as the first one: with success, the same type and a signature. */
    allowHead(status: number, head: ResponseHead): boolean {
        const { firstHead } = this.#options;
        return status === OK && head.contentType === firstHead.contentType
            && (head.isSigned || !firstHead.isSigned);
    }

    /**
     * Returns whether events may be passed on: the first of the run must follow the last one that the caller has got.
     *
     * @param areNext Returns whether the events may follow those that the caller has got.
     */
    allowEvents(areNext: () => boolean): boolean {
        if (this.#hasEvents) {
            return true;
        }
        this.#hasEvents = true;
        return areNext();
    }

    /** Returns whether the run may end: without events only if the caller may have got all of them. */
    allowEnd(): boolean {
        return this.#hasEvents || !this.#options.isMoreExpected;
    }
}
