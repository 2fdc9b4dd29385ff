/** Small bodies are common; the capacity doubles when it is used up. */
const FIRST_CAPACITY_BYTES = 1024;
/** Capacity that is left unused at the end, as a part of the length. */
const MAX_UNUSED_SHARE = 0.25;

/**
 * Bytes of one body that arrive in parts. Parts are copied: the buffer of a part takes hundreds of bytes beside its content, so
 * that a body in tiny parts would take a multiple of its length.
 */
export class CollectedBytes {
    readonly #maxBytes: number;
    #bytes = Buffer.alloc(0);
    #length = 0;

    private constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /**
     * Creates an empty collection.
     *
     * @param maxBytes Length that is expected at most: more is held, but without capacity ahead.
     */
    static create(maxBytes: number): CollectedBytes {
        return new CollectedBytes(maxBytes);
    }

    /** Bytes that have arrived. */
    get length(): number {
        return this.#length;
    }

    /** Bytes of memory that are held, which grow with what arrives, since a caller may send less than it has declared. */
    get heldBytes(): number {
        return this.#bytes.length;
    }

    /** Computes by how many bytes `heldBytes` grows when a part of this length is appended. */
    computeGrowth(partBytes: number): number {
        return this.#computeCapacity(this.#length + partBytes) - this.#bytes.length;
    }

    /** Appends a copy of a part. */
    append(part: Buffer): void {
        const length = this.#length + part.length;
        const capacity = this.#computeCapacity(length);
        if (capacity > this.#bytes.length) {
            this.#reserve(capacity);
        }
        part.copy(this.#bytes, this.#length);
        this.#length = length;
    }

    /** Returns all bytes in one buffer. Unused capacity is given up unless it is small. */
    join(): Buffer {
        if (this.#bytes.length - this.#length > MAX_UNUSED_SHARE * this.#length) {
            this.#reserve(this.#length);
        }
        return this.#bytes.length === this.#length ? this.#bytes : this.#bytes.subarray(0, this.#length);
    }

    #computeCapacity(length: number): number {
        const capacity = this.#bytes.length;
        if (length <= capacity) {
            return capacity;
        }
        return Math.max(length, Math.min(this.#maxBytes, Math.max(2 * capacity, FIRST_CAPACITY_BYTES)));
    }

    #reserve(capacity: number): void {
        const bytes = Buffer.allocUnsafeSlow(capacity);
        this.#bytes.copy(bytes, 0, 0, this.#length);
        this.#bytes = bytes;
    }
}
