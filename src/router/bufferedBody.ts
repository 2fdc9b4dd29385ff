import type { ServerResponse } from "node:http";
import { CollectedBytes } from "../core/bodies/collectedBytes.js";
import type { MemoryBudget } from "../core/memory/memoryBudget.js";

/** A body up to this size is buffered until complete, so that a truncated one can be replaced. */
const MAX_BODY_BYTES = 262_144;

/** Body of the response to one attempt; it counts for a budget until the caller's response has been read or is given up. */
export class BufferedBody {
    readonly #budget: MemoryBudget;
    readonly #response: ServerResponse;
    #bytes = CollectedBytes.create(MAX_BODY_BYTES);
    /** Memory that counts for the budget. */
    #heldBytes = 0;

    private constructor(budget: MemoryBudget, response: ServerResponse) {
        this.#budget = budget;
        this.#response = response;
    }

    /** Creates an empty body for a caller's response. */
    static create(budget: MemoryBudget, response: ServerResponse): BufferedBody {
        return new BufferedBody(budget, response);
    }

    /** Appends a part. Returns false if the body has become too large to be held, or the budget is used up. */
    append(chunk: Buffer): boolean {
        if (this.#heldBytes === 0) {
            this.#response.once("close", () => this.#release(this.#heldBytes));
        }
        const growth = this.#bytes.computeGrowth(chunk.length);
        this.#budget.add(growth);
        this.#heldBytes += growth;
        this.#bytes.append(chunk);
        return this.#bytes.length <= MAX_BODY_BYTES && this.#budget.has(0);
    }

    /** Takes the body out. What is held of it counts for the budget as before. */
    take(): readonly Buffer[] {
        const { heldBytes } = this.#bytes;
        const body = this.#bytes.join();
        // Nothing counts any more once the response has closed.
        this.#release(Math.min(this.#heldBytes, heldBytes - this.#bytes.heldBytes));
        this.#bytes = CollectedBytes.create(MAX_BODY_BYTES);
        return body.length > 0 ? [body] : [];
    }

    #release(bytes: number): void {
        this.#budget.release(bytes);
        this.#heldBytes -= bytes;
    }
}
