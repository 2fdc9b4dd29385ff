/** Bytes of requests and responses that are held in memory, and the limit for all of them together. */
export class MemoryBudget {
    readonly #maxBytes: number;
    #usedBytes = 0;

    private constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /** Creates a budget of which nothing is used. */
    static create(maxBytes: number): MemoryBudget {
        return new MemoryBudget(maxBytes);
    }

    /** Bytes in use. They may exceed the limit, since parts that are already there are added whatever their length. */
    get usedBytes(): number {
        return this.#usedBytes;
    }

    /** Returns whether bytes may be added. */
    has(bytes: number): boolean {
        return this.#usedBytes + bytes <= this.#maxBytes;
    }

    /** Adds bytes that are held from now on. */
    add(bytes: number): void {
        this.#usedBytes += bytes;
    }

    /** Releases bytes that are not held any more. */
    release(bytes: number): void {
        this.#usedBytes -= bytes;
    }
}
