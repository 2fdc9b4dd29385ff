import { request } from "undici";

interface EntryList {
    readonly entries: readonly { readonly instance: string; readonly address: string; }[];
    /** ISO 8601 time until which the list may be used. */
    readonly validUntil: string;
}

/** Caches the list of entry addresses, which any instance serves, until the list expires. */
export class EntryDirectory {
    readonly #seeds: readonly string[];
    #addresses: readonly string[];
    #validUntil = 0;
    #pending: Promise<void> | undefined;

    private constructor(seeds: readonly string[]) {
        this.#seeds = seeds;
        this.#addresses = seeds;
    }

    /** Creates a directory that queries the given addresses (host:port) first. */
    static create(seeds: readonly string[]): EntryDirectory {
        return new EntryDirectory(seeds);
    }

    /** Returns the listed addresses. An expired list stays in use while no instance responds with a new one. */
    async listEntries(): Promise<readonly string[]> {
        if (Date.now() >= this.#validUntil) {
            this.#pending ??= this.#fetch().finally(() => this.#pending = undefined);
            await this.#pending;
        }
        return this.#addresses;
    }

    async #fetch(): Promise<void> {
        for (const address of new Set([...this.#addresses, ...this.#seeds])) {
            const list = await tryFetchList(address);
            if (list && list.entries.length > 0) {
                this.#addresses = list.entries.map(entry => entry.address);
                this.#validUntil = Date.parse(list.validUntil);
                return;
            }
        }
    }
}

async function tryFetchList(address: string): Promise<EntryList | undefined> {
    try {
        const response = await request(`http://${address}/v1/entries`, { headersTimeout: 1_000 });
        if (response.statusCode !== 200) {
            await response.body.dump();
            return undefined;
        }
        return await response.body.json() as EntryList;
    }
    catch {
        return undefined;
    }
}
