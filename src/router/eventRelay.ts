const EVENT_END = "\n\n";
const ID_PATTERN = /(?:^|\n)id: ?(\S+)/g;

/** Cuts an event stream at the ends of events and remembers the last identifier, so that it can go on elsewhere. */
export class EventRelay {
    #partial: Buffer | undefined;
    #lastChunk: Buffer | undefined;
    #lastEventId: string | undefined;

    /** Creates a relay that has seen no event. */
    static create(): EventRelay {
        return new EventRelay();
    }

    /** Takes bytes and returns the whole events in them, if any. */
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

    /** Drops the beginning of an event that its target did not finish. */
    reset(): void {
        this.#partial = undefined;
    }

    /** Identifier of the last whole event, or `undefined` if there was none. */
    getLastEventId(): string | undefined {
        if (this.#lastChunk) {
            this.#lastEventId = [...this.#lastChunk.toString("latin1").matchAll(ID_PATTERN)].at(-1)?.[1]
                ?? this.#lastEventId;
            this.#lastChunk = undefined;
        }
        return this.#lastEventId;
    }
}
