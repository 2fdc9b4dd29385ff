import type { PromptPart } from "./promptPart.js";

/** Shared prefix of a prompt, identified by its last part. */
interface SharedPrefix {
    readonly id: string;
    /** Tokens of the whole prefix. */
    readonly tokens: number;
}

/** Returns the prefix that other prompts may share: all parts but the last, which is specific to the request. */
export function findSharedPrefix(prompt: readonly PromptPart[]): SharedPrefix | undefined {
    const last = prompt.at(-2);
    return last && {
        id: last.id,
        tokens: prompt.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0),
    };
}
