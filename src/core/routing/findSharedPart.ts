import type { PromptPart } from "./promptPart.js";

/** The last shared part of a prompt stands for all parts before it. */
interface SharedPart {
    readonly id: string;
    /** Tokens up to its end. */
    readonly tokens: number;
}

/** Returns the last part of a prompt that other prompts share; the very last part is the request's own. */
export function findSharedPart(prompt: readonly PromptPart[]): SharedPart | undefined {
    const last = prompt.at(-2);
    return last && {
        id: last.id,
        tokens: prompt.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0),
    };
}
