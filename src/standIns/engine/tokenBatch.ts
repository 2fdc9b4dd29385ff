interface BatchEntry {
    readonly readyAt: number;
    readonly remaining: { tokens: number; };
    readonly onTokens: (count: number) => void;
    readonly finish: () => void;
}

/** Continuous batching: every running request advances by one token each interval. */
export class TokenBatch {
    readonly #intervalMs: number;
    readonly #promptMs: number;
    readonly #entries = new Set<BatchEntry>();
    #timer: NodeJS.Timeout | undefined;
    #advancedTo = 0;

    private constructor(intervalMs: number, promptMs: number) {
        this.#intervalMs = intervalMs;
        this.#promptMs = promptMs;
    }

    /** Creates an empty batch; both times are in milliseconds. */
    static create(intervalMs: number, promptMs: number): TokenBatch {
        return new TokenBatch(intervalMs, promptMs);
    }

    /** Runs a request to its end or until the signal aborts; `onTokens` gets the number of new tokens. */
    async run(tokens: number, onTokens: (count: number) => void, signal: AbortSignal): Promise<void> {
        if (tokens === 0 || signal.aborted) {
            return;
        }
        await new Promise<void>(resolve => {
            const entry: BatchEntry = {
                readyAt: performance.now() + this.#promptMs,
                remaining: { tokens },
                onTokens,
                finish: () => {
                    this.#entries.delete(entry);
                    signal.removeEventListener("abort", entry.finish);
                    resolve();
                },
            };
            signal.addEventListener("abort", entry.finish);
            this.#entries.add(entry);
            this.#ensureTimer();
        });
    }

    #ensureTimer(): void {
        if (this.#timer) {
            return;
        }
        this.#advancedTo = performance.now();
        this.#timer = setInterval(() => this.#advance(performance.now()), this.#intervalMs);
    }

    /** A late timer advances by several tokens, so that a busy machine does not lower the token rate. */
    #advance(now: number): void {
        const steps = Math.floor((now - this.#advancedTo) / this.#intervalMs);
        this.#advancedTo += steps * this.#intervalMs;
        for (const entry of [...this.#entries]) {
            const readyTokens = Math.floor((now - entry.readyAt) / this.#intervalMs) + 1;
            const count = Math.min(steps, readyTokens, entry.remaining.tokens);
            if (count <= 0) {
                continue;
            }
            entry.remaining.tokens -= count;
            entry.onTokens(count);
            if (entry.remaining.tokens === 0) {
                entry.finish();
            }
        }
        if (this.#entries.size === 0) {
            clearInterval(this.#timer);
            this.#timer = undefined;
        }
    }
}
