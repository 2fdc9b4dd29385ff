/** Body of a request, as far as it has arrived. */
export class RequestBody {
    /** Memory for a body whose length is known; pages that nothing was written to are not resident. */
    readonly #bytes: Buffer | undefined;
    readonly #parts: Buffer[] = [];
    #length = 0;

    private constructor(declaredBytes: number | undefined) {
        this.#bytes = declaredBytes === undefined ? undefined : Buffer.allocUnsafeSlow(declaredBytes);
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

    /** Adds a part. It is copied if there is memory for the body, so that it need not be held until the end. */
    append(part: Buffer): void {
        if (this.#bytes) {
            part.copy(this.#bytes, this.#length);
        }
        else {
            this.#parts.push(part);
        }
        this.#length += part.length;
    }

    /** Returns the complete body. */
    join(): Buffer {
        return this.#bytes ?? Buffer.concat(this.#parts);
    }
}
