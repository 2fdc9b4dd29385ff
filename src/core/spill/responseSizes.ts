/** Weight of the newest response in the moving average of a route. */
const NEWEST_WEIGHT = 0.1;
/** Size in bytes that is assumed of a route without a response. */
const PRIOR_BYTES = 4096;
/** Routes whose size is kept; the one that was recorded first is forgotten. */
const MAX_ROUTES = 1000;

/** Learns the size of the responses of each route. */
export class ResponseSizes {
    readonly #bytes = new Map<string, number>();

    /** Creates the sizes of routes that have had no response. */
    static create(): ResponseSizes {
        return new ResponseSizes();
    }

    /** Records the bytes of a complete response. */
    record(route: string, bytes: number): void {
        const known = this.#bytes.get(route);
        if (known === undefined && this.#bytes.size >= MAX_ROUTES) {
            const [first] = this.#bytes.keys();
            this.#bytes.delete(first ?? "");
        }
        this.#bytes.set(route, known === undefined ? bytes : known + (bytes - known) * NEWEST_WEIGHT);
    }

    /** Estimates the bytes of the next response of a route. */
    estimate(route: string): number {
        return this.#bytes.get(route) ?? PRIOR_BYTES;
    }
}
