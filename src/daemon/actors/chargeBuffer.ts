import type { Metrics } from "../../observability/metrics.js";
import { NameHashCache } from "../nameHashCache.js";

/** Buffers charges, so that a token costs one addition instead of a message to the actor. */
export class ChargeBuffer {
    readonly #metrics: Metrics;
    readonly #hashes = NameHashCache.create();
    readonly #charges = new Map<string, number>();

    private constructor(metrics: Metrics) {
        this.#metrics = metrics;
    }

    /** Creates an empty buffer. */
    static create(metrics: Metrics): ChargeBuffer {
        return new ChargeBuffer(metrics);
    }

    /** Adds tokens to an account; amounts that are not positive are ignored. */
    add(account: string, tokens: number): void {
        if (tokens > 0) {
            this.#charges.set(account, (this.#charges.get(account) ?? 0) + tokens);
        }
    }

    /** Returns the tokens charged since the last call by hashed account, and adds them to the metrics. */
    flush(): ReadonlyMap<number, number> {
        const charges = new Map<number, number>();
        for (const [account, tokens] of this.#charges) {
            this.#metrics.count("tokens_total", { account }, tokens);
            charges.set(this.#hashes.get(account), tokens);
        }
        this.#charges.clear();
        return charges;
    }
}
