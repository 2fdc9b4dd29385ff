/** Picks up to `count` items at random. */
export function pickRandom<T>(items: readonly T[], count: number): readonly T[] {
    const rest = [...items];
    const picked: T[] = [];
    while (picked.length < count && rest.length > 0) {
        picked.push(...rest.splice(Math.floor(Math.random() * rest.length), 1));
    }
    return picked;
}
