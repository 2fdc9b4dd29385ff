import type { PromptPart } from "./promptPart.js";

/** Lists the identifiers of the parts that other prompts may share: all but the last, which is specific to the request. */
export function listSharedParts(prompt: readonly PromptPart[]): readonly string[] {
    return prompt.slice(0, -1).map(({ id }) => id);
}
