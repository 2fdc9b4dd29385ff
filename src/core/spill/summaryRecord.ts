/** Until when the last summary of each data centre describes the load of its instances. */
export class SummaryRecord {
    readonly #validUntil = new Map<string, number>();

    /** Creates a record without summaries. */
    static create(): SummaryRecord {
        return new SummaryRecord();
    }

    /** Records a summary; `validUntil` is a monotonic time in milliseconds. */
    record(dataCentre: string, validUntil: number): void {
        this.#validUntil.set(dataCentre, validUntil);
    }

    /**
     * Returns whether the load of a data centre is known. Without a valid summary it looks idle, so that it counts as
     * unknown unless the data centre is known to have no instances of its own.
     *
     * @param hasMembers Whether live instances of the data centre are known.
     */
    isCurrent(dataCentre: string, hasMembers: boolean, now: number): boolean {
        const validUntil = this.#validUntil.get(dataCentre);
        return validUntil === undefined ? !hasMembers : now <= validUntil;
    }
}
