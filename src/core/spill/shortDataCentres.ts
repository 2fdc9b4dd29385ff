import type { DataCentreLoad } from "./dataCentreLoad.js";

/** Loads at which a data centre begins and ceases to count as short; the gap keeps the division from alternating. */
const BEGIN_FILL = 0.9;
const END_FILL = 0.6;

/** Data centres whose targets are too few for their callers. */
export class ShortDataCentres {
    #names = new Set<string>();

    /** Creates an empty set. */
    static create(): ShortDataCentres {
        return new ShortDataCentres();
    }

    get names(): ReadonlySet<string> {
        return this.#names;
    }

    /** Follows the loads; a data centre without a load has no targets and counts as short. */
    update(dataCentres: Iterable<string>, loads: ReadonlyMap<string, DataCentreLoad>): void {
        this.#names = new Set(
            [...dataCentres].filter(name =>
                (loads.get(name)?.fill ?? 1) >= (this.#names.has(name) ? END_FILL : BEGIN_FILL)
            ),
        );
    }
}
