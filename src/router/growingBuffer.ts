const MIN_CAPACITY_BYTES = 1024;

/** Collects bytes in one buffer that doubles when it is full, so that the cost is linear however small the parts are. */
export class GrowingBuffer {
    #bytes: Buffer | undefined;
    #length = 0;

    /** Creates an empty buffer. */
    static create(): GrowingBuffer {
        return new GrowingBuffer();
    }

    /** Number of collected bytes. */
    get length(): number {
        return this.#length;
    }

    /** Last collected byte, or `undefined` if there is none. */
    get lastByte(): number | undefined {
        return this.#length > 0 ? this.#bytes?.[this.#length - 1] : undefined;
    }

    /** Adds a copy of a part. */
    append(part: Buffer): void {
        if (part.length === 0) {
            return;
        }
        const needed = this.#length + part.length;
        if (!this.#bytes || needed > this.#bytes.length) {
            const capacity = Math.max(MIN_CAPACITY_BYTES, 2 ** Math.ceil(Math.log2(needed)));
            const grown = Buffer.allocUnsafe(capacity);
            this.#bytes?.copy(grown, 0, 0, this.#length);
            this.#bytes = grown;
        }
        part.copy(this.#bytes, this.#length);
        this.#length = needed;
    }

    /** Returns the collected bytes followed by a last part, and empties the buffer. */
    takeWith(part: Buffer): Buffer {
        this.append(part);
        const taken = (this.#bytes ?? Buffer.alloc(0)).subarray(0, this.#length);
        this.clear();
        return taken;
    }

    /** Discards the collected bytes. */
    clear(): void {
        this.#bytes = undefined;
        this.#length = 0;
    }
}
