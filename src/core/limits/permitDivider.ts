/** Divides permits among recipients in proportion to their weights; fractions are carried over to the next division. */
export class PermitDivider {
    readonly #credits = new Map<string, number>();

    /** Creates a divider that owes nothing. */
    static create(): PermitDivider {
        return new PermitDivider();
    }

    /**
     * Returns the recipient of each permit, in the order of what they are owed.
     *
     * @param weights By recipient; not negative.
     */
    grant(count: number, weights: ReadonlyMap<string, number>): readonly string[] {
        const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
        if (count === 0 || total <= 0) {
            return [];
        }
        for (const recipient of this.#credits.keys()) {
            if (!weights.has(recipient)) {
                this.#credits.delete(recipient);
            }
        }
        for (const [recipient, weight] of weights) {
            this.#credits.set(recipient, (this.#credits.get(recipient) ?? 0) + count * weight / total);
        }
        return Array.from({ length: count }, () => {
            const [recipient] = [...this.#credits].reduce((best, entry) => entry[1] > best[1] ? entry : best);
            this.#credits.set(recipient, (this.#credits.get(recipient) ?? 0) - 1);
            return recipient;
        });
    }
}
