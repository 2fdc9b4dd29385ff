/** First memory for a body whose length is known. */
const FIRST_CAPACITY_BYTES = 16_384;

/** Body of a request, as far as it has arrived. */
export class RequestBody {
    /** Length of the body; `undefined` if it is not known. */
    readonly #declaredBytes: number | undefined;
    /** Memory for a body whose length is known. It grows with what arrives, since a caller may send less than it has declared. */
    #bytes = Buffer.alloc(0);
    readonly #parts: Buffer[] = [];
    #length = 0;

    private constructor(declaredBytes: number | undefined) {
        this.#declaredBytes = declaredBytes;
    }

    /**
     * Creates an empty body.
     *
     * @param declaredBytes Length that its caller has declared; `undefined` if it is not known or not accepted.
     */
    static create(declaredBytes: number | undefined): RequestBody {
        return new RequestBody(declaredBytes);
    }

    /** Bytes that have arrived. */
    get length(): number {
        return this.#length;
    }

    /** Adds a part. It is copied if the length of the body is known, so that it need not be held until the end. */
    append(part: Buffer): void {
        const length = this.#length + part.length;
        if (this.#declaredBytes === undefined) {
            this.#parts.push(part);
        }
        else {
            this.#reserve(length, this.#declaredBytes);
            part.copy(this.#bytes, this.#length);
        }
        this.#length = length;
    }

    /** Returns the complete body. */
    join(): Buffer {
        return this.#declaredBytes === undefined ? Buffer.concat(this.#parts) : this.#bytes;
    }

    #reserve(length: number, declaredBytes: number): void {
        const capacity = this.#bytes.length;
        if (length > capacity) {
            const grown = Math.min(declaredBytes, Math.max(length, capacity * 2, FIRST_CAPACITY_BYTES));
            const bytes = Buffer.allocUnsafeSlow(grown);
            this.#bytes.copy(bytes, 0, 0, this.#length);
            this.#bytes = bytes;
        }
    }
}
