import type { MemoryBudget } from "./memoryBudget.js";

/** Bytes of one budget that belong together and are released together. */
export class HeldBytes {
    readonly #budget: MemoryBudget;
    #bytes = 0;

    private constructor(budget: MemoryBudget) {
        this.#budget = budget;
    }

    /** Creates a holder of no bytes. */
    static create(budget: MemoryBudget): HeldBytes {
        return new HeldBytes(budget);
    }

    /** Returns whether the budget has room for further bytes. */
    has(bytes: number): boolean {
        return this.#budget.has(bytes);
    }

    /** Adds bytes. Returns false, and adds nothing, if the budget has no room for them. */
    add(bytes: number): boolean {
        if (!this.#budget.has(bytes)) {
            return false;
        }
        this.#budget.add(bytes);
        this.#bytes += bytes;
        return true;
    }

    /** Bytes that are held. */
    get bytes(): number {
        return this.#bytes;
    }

    /** Releases some of the bytes. */
    releaseSome(bytes: number): void {
        this.#budget.release(bytes);
        this.#bytes -= bytes;
    }

    /** Releases all bytes. */
    release(): void {
        this.#budget.release(this.#bytes);
        this.#bytes = 0;
    }
}
