import { request } from "undici";
import { readBoundedJson } from "../../shared/readBoundedJson.js";
import { PlatformError } from "./platformError.js";
import type { PlatformValueName } from "./platformValueName.js";

/** Time allowed for a response beyond the requested wait. */
const RESPONSE_TIMEOUT_MS = 3000;
/** Time allowed for a whole value. */
const BODY_TIMEOUT_MS = 10_000;
/** The size of a message that peers accept. */
const MAX_VALUE_BYTES = 8 * 1024 * 1024;

/** Watches the values that the platform publishes by long polling. */
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
     * Waits up to `waitMs` milliseconds for a value with a higher revision. The value is not validated.
     *
     * @returns `undefined` when there was none in that time.
     * @throws PlatformError when the platform cannot be reached or responds with neither a value nor 304.
     */
    async watch(
        name: PlatformValueName,
        afterRevision: number,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<unknown> {
        try {
            const response = await request(
                `${this.#url}/v1/${name}?after=${afterRevision}&waitMs=${waitMs}`,
                { signal, headersTimeout: waitMs + RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS },
            );
            if (response.statusCode === 200) {
                const deadline = performance.now() + BODY_TIMEOUT_MS;
                return await readBoundedJson(response.body, { maxBytes: MAX_VALUE_BYTES, deadline });
            }
            await response.body.dump();
            if (response.statusCode === 304) {
                return undefined;
            }
            throw PlatformError.create(name, `status ${response.statusCode}`);
        }
        catch (error) {
            throw error instanceof PlatformError ? error : PlatformError.create(name, String(error), error);
        }
    }
}
