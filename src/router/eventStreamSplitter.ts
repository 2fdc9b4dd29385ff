import { GrowingBuffer } from "./growingBuffer.js";

const EVENT_END = "\n\n";
const LINE_FEED = 0x0a;
const ID_PATTERN = /(?:^|\n)id: ?(\S+)/g;

/** Splits a stream into complete events and tracks the last event identifier, so that another target can resume it. */
export class EventStreamSplitter {
    readonly #partial = GrowingBuffer.create();
    #lastCompleted: Buffer | undefined;
    #lastEventId: string | undefined;

    /** Creates a relay that has seen no event. */
    static create(): EventStreamSplitter {
        return new EventStreamSplitter();
    }

    /** Adds received bytes. Returns the events that they complete, or `undefined` if there are none. */
    push(chunk: Buffer): Buffer | undefined {
        const length = this.#findEventsLength(chunk);
        if (length === 0) {
            this.#partial.append(chunk);
            return undefined;
        }
        const head = chunk.subarray(0, length);
        const complete = this.#partial.length > 0 ? this.#partial.takeWith(head) : head;
        this.#partial.append(chunk.subarray(length));
        this.#lastCompleted = complete;
        return complete;
    }

    /** Bytes of the incomplete event at the end of the stream so far. */
    get partialBytes(): number {
        return this.#partial.length;
    }

    /** True if the bytes so far end within an event. */
    get hasPartialEvent(): boolean {
        return this.#partial.length > 0;
    }

    /** Discards an incomplete event of a failed attempt. */
    reset(): void {
        this.#partial.clear();
    }

    /** Takes the bytes of an incomplete event out; `push` puts them back. */
    takePartial(): Buffer {
        return this.#partial.takeWith(Buffer.alloc(0));
    }

    /** Identifier of the last complete event, or `undefined` if there was none. */
    getLastEventId(): string | undefined {
        if (this.#lastCompleted) {
            this.#lastEventId = [...this.#lastCompleted.toString("latin1").matchAll(ID_PATTERN)].at(-1)?.[1]
                ?? this.#lastEventId;
            this.#lastCompleted = undefined;
        }
        return this.#lastEventId;
    }

    /** Forgets the events of the last call of `push`, which the caller does not get. */
    dropLastEvents(): void {
        this.#lastCompleted = undefined;
    }

    /** Returns the length of the part of a chunk that ends with its last complete event; 0 if it completes none. */
    #findEventsLength(chunk: Buffer): number {
        const end = chunk.lastIndexOf(EVENT_END);
        if (end >= 0) {
            return end + EVENT_END.length;
        }
        // The bytes before the chunk contain no end of an event, so only one that spans the boundary is left.
        return chunk[0] === LINE_FEED && this.#partial.lastByte === LINE_FEED ? 1 : 0;
    }
}
