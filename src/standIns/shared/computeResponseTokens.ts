import murmurhash from "murmurhash";

/** Bounds of the number of tokens in a response; real callers cannot know the number beforehand. */
interface ResponseLength {
    readonly minTokens: number;
    readonly maxTokens: number;
}

/** Returns the tokens of the response to a prompt, which are the same from every engine. */
export function computeResponseTokens(prompt: string, length: ResponseLength): readonly string[] {
    const span = length.maxTokens - length.minTokens + 1;
    const count = length.minTokens + murmurhash.v3(`length|${prompt}`) % span;
    const seed = murmurhash.v3(`token|${prompt}`);
    return Array.from(
        { length: count },
        (_, index) => `${((seed ^ Math.imul(index + 1, 0x9e3779b1)) >>> 0).toString(36)} `,
    );
}
