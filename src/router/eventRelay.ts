const EVENT_END = "\n\n";
const ID_PATTERN = /(?:^|\n)id: ?(\S+)/g;

/** Splits a stream into complete events and tracks the last event identifier, so that another target can resume it. */
export class EventRelay {
    #partial: Buffer | undefined;
    #lastChunk: Buffer | undefined;
    #lastEventId: string | undefined;

    /** Creates a relay that has seen no event. */
    static create(): EventRelay {
        return new EventRelay();
    }

    /** Adds received bytes. Returns the events that they complete, or `undefined` if there are none. */
    push(chunk: Buffer): Buffer | undefined {
        const bytes = this.#partial ? Buffer.concat([this.#partial, chunk]) : chunk;
        const end = bytes.lastIndexOf(EVENT_END);
        if (end < 0) {
            this.#partial = bytes;
            return undefined;
        }
        const length = end + EVENT_END.length;
        this.#partial = length < bytes.length ? bytes.subarray(length) : undefined;
        const whole = length < bytes.length ? bytes.subarray(0, length) : bytes;
        this.#lastChunk = whole;
        return whole;
    }

    /** True if the bytes so far end within an event. */
    get hasPartialEvent(): boolean {
        return this.#partial !== undefined;
    }

    /** Discards an incomplete event of a failed attempt. */
    reset(): void {
        this.#partial = undefined;
    }

    /** Identifier of the last complete event, or `undefined` if there was none. */
    getLastEventId(): string | undefined {
        if (this.#lastChunk) {
            this.#lastEventId = [...this.#lastChunk.toString("latin1").matchAll(ID_PATTERN)].at(-1)?.[1]
                ?? this.#lastEventId;
            this.#lastChunk = undefined;
        }
        return this.#lastEventId;
    }
}
