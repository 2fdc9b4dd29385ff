import type { PromptPart } from "./promptPart.js";

/** Estimates the prefix cache of one engine from the prompts sent to it; evicts the least recently used parts. */
export class PromptCache {
    readonly #capacityTokens: number;
    /** Tokens by part, the least recently used first. */
    readonly #parts = new Map<string, number>();
    #tokens = 0;

    private constructor(capacityTokens: number) {
        this.#capacityTokens = capacityTokens;
    }

    /** Creates an empty estimate. */
    static create(capacityTokens: number): PromptCache {
        return new PromptCache(capacityTokens);
    }

    /** Records that a prompt is sent to the engine. */
    add(prompt: readonly PromptPart[]): void {
        for (const part of prompt) {
            const known = this.#parts.get(part.id);
            if (known !== undefined) {
                this.#parts.delete(part.id);
                this.#tokens -= known;
            }
            this.#parts.set(part.id, part.tokens);
            this.#tokens += part.tokens;
        }
        for (const [id, tokens] of this.#parts) {
            if (this.#tokens <= this.#capacityTokens) {
                return;
            }
            this.#parts.delete(id);
            this.#tokens -= tokens;
        }
    }

    /** Returns how many leading parts of a prompt the engine probably has cached. */
    countParts(prompt: readonly PromptPart[]): number {
        const missing = prompt.findIndex(part => !this.#parts.has(part.id));
        return missing < 0 ? prompt.length : missing;
    }
}
