import { hashName } from "../core/configuration/hashName.js";

/** Remembers the hashes of names, so that a hot path does not compute them again. */
export class NameHashes {
    readonly #hashes = new Map<string, number>();

    private constructor() {}

    /** Creates an empty table. */
    static create(): NameHashes {
        return new NameHashes();
    }

    /** Returns the hash under which a name travels between daemons. */
    get(name: string): number {
        const known = this.#hashes.get(name);
        if (known !== undefined) {
            return known;
        }
        const hash = hashName(name);
        this.#hashes.set(name, hash);
        return hash;
    }
}
