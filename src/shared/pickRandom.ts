/** Picks up to `count` items at random. */
export function pickRandom<T>(items: readonly T[], count: number): readonly T[] {
    const remaining = [...items];
    const picked: T[] = [];
    while (picked.length < count && remaining.length > 0) {
        picked.push(...remaining.splice(Math.floor(Math.random() * remaining.length), 1));
    }
    return picked;
}
