/** Largest body of a non-streamed response; it is buffered until complete, so that a truncated one can be replaced. */
const MAX_BODY_BYTES = 262_144;

/** Body of the response to one attempt. */
export class BufferedBody {
    readonly #chunks: Buffer[] = [];
    #length = 0;

    /** Creates an empty body. */
    static create(): BufferedBody {
        return new BufferedBody();
    }

    /** Appends a part. Returns false if the body exceeds the limit. */
    append(chunk: Buffer): boolean {
        this.#length += chunk.length;
        this.#chunks.push(chunk);
        return this.#length <= MAX_BODY_BYTES;
    }

    /** Joins the parts. */
    join(): Buffer {
        return Buffer.concat(this.#chunks);
    }
}
