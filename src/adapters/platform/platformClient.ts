import { request } from "undici";
import type { PlatformValues } from "./platformValues.js";

/** Reads and watches what the platform publishes. */
export class PlatformClient {
    readonly #url: string;

    private constructor(url: string) {
        this.#url = url;
    }

    /** Creates a client for the platform at a base URL. */
    static create(url: string): PlatformClient {
        return new PlatformClient(url);
    }

    /**
     * Waits up to `waitMs` milliseconds for a value with a higher revision.
     *
     * @returns `undefined` when there was none in that time.
     * @throws Error when the platform cannot be reached.
     */
    async watch<K extends keyof PlatformValues>(
        name: K,
        afterRevision: number,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<PlatformValues[K] | undefined> {
        const response = await request(`${this.#url}/v1/${name}?after=${afterRevision}&waitMs=${waitMs}`, {
            signal,
        });
        if (response.statusCode !== 200) {
            await response.body.dump();
            return undefined;
        }
        return await response.body.json() as PlatformValues[K];
    }
}
