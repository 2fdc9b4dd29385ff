import { hashName } from "../core/configuration/hashName.js";

/** Caches the hashes of names for use on a hot path. */
export class NameHashCache {
    readonly #hashes = new Map<string, number>();

    private constructor() {}

    /** Creates an empty table. */
    static create(): NameHashCache {
        return new NameHashCache();
    }

    /** Returns the hash that stands for a name in messages between daemons. */
    get(name: string): number {
        const cached = this.#hashes.get(name);
        if (cached !== undefined) {
            return cached;
        }
        const hash = hashName(name);
        this.#hashes.set(name, hash);
        return hash;
    }
}
