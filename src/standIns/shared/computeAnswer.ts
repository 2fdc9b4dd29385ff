import murmurhash from "murmurhash";

/** Range of the number of tokens in an answer; the caller cannot know the number beforehand. */
interface AnswerLength {
    readonly minTokens: number;
    readonly maxTokens: number;
}

/** Returns the tokens with which an engine answers a prompt, the same for every engine. */
export function computeAnswer(prompt: string, length: AnswerLength): readonly string[] {
    const span = length.maxTokens - length.minTokens + 1;
    const count = length.minTokens + murmurhash.v3(`length|${prompt}`) % span;
    const seed = murmurhash.v3(`token|${prompt}`);
    return Array.from(
        { length: count },
        (_, index) => `${((seed ^ Math.imul(index + 1, 0x9e3779b1)) >>> 0).toString(36)} `,
    );
}
