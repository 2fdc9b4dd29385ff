/** Identifiers with more digits are compared as text; numbers of this length take no noticeable time. */
const NUMBER_PATTERN = /^\d{1,64}$/;
/** Steps of the same size after which the identifiers of a stream count as evenly spaced. */
const MIN_EQUAL_STEPS = 2;

/**
 * Identifiers of the events of one stream, which increase by steps that the stream chooses. What may follow the last one is
 * learned from those before: at most their step if it was always the same, and otherwise any greater number.
 */
export class EventSequence {
    #first: string | undefined;
    #last: string | undefined;
    #lastNumber: bigint | undefined;
    #step: bigint | undefined;
    #equalSteps = 0;
    /** True while the only step is that from 0, which is no event, to the first event. */
    #isFirstStep: boolean;
    #isUneven = false;

    private constructor(resumesAfter: string | undefined) {
        this.#last = resumesAfter;
        this.#lastNumber = resumesAfter === undefined ? 0n : toNumber(resumesAfter);
        this.#isFirstStep = resumesAfter === undefined;
    }

    /** @param resumesAfter Identifier of the event after which a stream is taken up; `undefined` for a new stream. */
    static create(resumesAfter?: string): EventSequence {
        return new EventSequence(resumesAfter);
    }

    /** Adds the identifier of the next event. */
    add(id: string): void {
        const number = toNumber(id);
        if (number === undefined || this.#lastNumber === undefined) {
            this.#isUneven = true;
        }
        else {
            this.#addStep(number - this.#lastNumber);
        }
        this.#first ??= id;
        this.#last = id;
        this.#lastNumber = number;
    }

    /** Returns whether an event with an identifier may come next. */
    mayFollow(id: string | undefined): boolean {
        if (this.#last === undefined) {
            return true;
        }
        if (id === undefined) {
            return false;
        }
        if (this.#lastNumber === undefined) {
            return id !== this.#last && id !== this.#first;
        }
        const number = toNumber(id);
        return number !== undefined && this.#mayStep(number - this.#lastNumber);
    }

    /** A step may be shorter than usual: the last event of a stream that numbers tokens holds the rest of them. */
    #mayStep(step: bigint): boolean {
        const isKnown = !this.#isUneven && this.#equalSteps >= MIN_EQUAL_STEPS;
        return step > 0n && (!isKnown || this.#step === undefined || step <= this.#step);
    }

    #addStep(step: bigint): void {
        if (step === this.#step) {
            this.#equalSteps += 1;
        }
        else if (this.#step === undefined || this.#isFirstStep && this.#equalSteps === 1) {
            this.#isFirstStep &&= this.#step === undefined;
            this.#step = step;
            this.#equalSteps = 1;
        }
        else {
            this.#isUneven = true;
        }
    }
}

function toNumber(id: string): bigint | undefined {
    return NUMBER_PATTERN.test(id) ? BigInt(id) : undefined;
}
