/**
 * Picks an item of a list at random.
 *
 * @throws Error when the list is empty.
 */
export function pickItem<T>(items: readonly T[], random: () => number): T {
    const item = items[Math.floor(random() * items.length)];
    if (item === undefined) {
        throw new Error("Cannot pick from an empty list.");
    }
    return item;
}
