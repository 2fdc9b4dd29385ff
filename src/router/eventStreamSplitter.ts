import { EventSequence } from "../core/streams/eventSequence.js";
import { GrowingBuffer } from "./growingBuffer.js";

const EVENT_END = "\n\n";
const LINE_FEED = 0x0a;
const ID_PATTERN = /(?:^|\n)id: ?(\S+)/g;
/** Complete events are kept for this long before their identifiers are read, as most streams end without a need for them. */
const MAX_UNREAD_BYTES = 8192;

/** A kept piece takes this much memory beside its content. */
const PIECE_BYTES = 256;

/** Splits a stream into complete events and tracks their identifiers, so that another target can resume it. */
export class EventStreamSplitter {
    readonly #partial = GrowingBuffer.create();
    readonly #sequence: EventSequence;
    /** Complete events whose identifiers have not been read. */
    #unread: Buffer[] = [];
    #unreadBytes = 0;
    #lastEventId: string | undefined;

    private constructor(resumesAfter: string | undefined) {
        this.#sequence = EventSequence.create(resumesAfter);
    }

    /**
     * Creates a splitter that has seen no event.
     *
     * @param resumesAfter Identifier of the event after which a caller takes the stream up.
     */
    static create(resumesAfter?: string): EventStreamSplitter {
        return new EventStreamSplitter(resumesAfter);
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
        if (this.#unreadBytes > MAX_UNREAD_BYTES) {
            this.#readIds();
        }
        this.#unread.push(complete);
        this.#unreadBytes += complete.length + PIECE_BYTES;
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
        this.#readIds();
        return this.#lastEventId;
    }

    /** Returns whether the events of the last call of `push` may follow those before. */
    get areLastEventsNext(): boolean {
        const last = this.#unread.pop();
        this.#readIds();
        if (last === undefined) {
            return true;
        }
        this.#unread = [last];
        this.#unreadBytes = last.length + PIECE_BYTES;
        const [first] = last.toString("latin1").matchAll(ID_PATTERN);
        return this.#sequence.mayFollow(first?.[1]);
    }

    /** Forgets the events of the last call of `push`, which the caller does not get. */
    dropLastEvents(): void {
        const last = this.#unread.pop();
        this.#unreadBytes -= last ? last.length + PIECE_BYTES : 0;
    }

    #readIds(): void {
        for (const events of this.#unread) {
            for (const [, id] of events.toString("latin1").matchAll(ID_PATTERN)) {
                if (id !== undefined) {
                    this.#sequence.add(id);
                    this.#lastEventId = id;
                }
            }
        }
        this.#unread = [];
        this.#unreadBytes = 0;
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
