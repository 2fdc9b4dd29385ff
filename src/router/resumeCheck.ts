import type { ResponseHead } from "./responseHead.js";

interface ResumeCheckOptions {
    /** Head of the first run, which the caller has got. */
    readonly firstHead: ResponseHead;
    /** Identifier of the last event that the caller has got; `undefined` if it has got none. */
    readonly lastEventId: string | undefined;
    /** True if the run before ended within an event, so that the stream has at least one more. */
    readonly isMoreExpected: boolean;
}

const OK = 200;
const ID_PATTERN = /(?:^|\n)id: ?(\S+)/;
const NUMBER_PATTERN = /^\d{1,15}$/;

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

    /** Returns whether events may be passed on: the first of the run must follow the last one that the caller has got. */
    allowEvents(events: Buffer): boolean {
        if (this.#hasEvents) {
            return true;
        }
        this.#hasEvents = true;
        const { lastEventId } = this.#options;
        return lastEventId === undefined
            || isNextId(lastEventId, ID_PATTERN.exec(events.toString("latin1"))?.[1]);
    }

    /** Returns whether the run may end: without events only if the caller may have got all of them. */
    allowEnd(): boolean {
        return this.#hasEvents || !this.#options.isMoreExpected;
    }
}

function isNextId(last: string, next: string | undefined): boolean {
    if (NUMBER_PATTERN.test(last)) {
        return Number(next) === Number(last) + 1;
    }
    return next !== undefined && next !== last;
}
