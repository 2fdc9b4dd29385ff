interface EvacuationChange {
    readonly dataCentre: string;
    readonly revision: number;
    /** False if the evacuation was taken back. */
    readonly isSet: boolean;
}

/** Evacuated data centres, as the platform lists them. */
export class Evacuations {
    readonly #evacuated = new Set<string>();
    /** Revisions at which evacuations were set, by data centre, also of those taken back since. */
    readonly #setAt = new Map<string, number>();

    /** Creates a list without evacuations. */
    static create(): Evacuations {
        return new Evacuations();
    }

    /** Applies changes in the order in which they were made. */
    apply(changes: readonly EvacuationChange[]): void {
        for (const { dataCentre, revision, isSet } of changes) {
            if (isSet) {
                this.#evacuated.add(dataCentre);
                this.#setAt.set(dataCentre, revision);
            }
            else {
                this.#evacuated.delete(dataCentre);
            }
        }
    }

    /**
     * Adopts a complete list.
     *
     * @param isOldCopy True if the list may be older than what is known: evacuations that it lacks are kept, and one that
     * was seen at the same revision and taken back since is not adopted.
     */
    replaceAll(changes: readonly EvacuationChange[], isOldCopy: boolean): void {
        if (!isOldCopy) {
            this.#evacuated.clear();
        }
        const isKnown = ({ dataCentre, revision }: EvacuationChange): boolean =>
            this.#setAt.get(dataCentre) === revision;
        this.apply(isOldCopy ? changes.filter(change => !isKnown(change)) : changes);
    }

    /** Lists the evacuated data centres. */
    list(): ReadonlySet<string> {
        return new Set(this.#evacuated);
    }
}
