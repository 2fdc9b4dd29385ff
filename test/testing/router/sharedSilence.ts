import type { RawTarget } from "./rawTarget.js";

type RawRequest = Parameters<Parameters<typeof RawTarget.create>[3]>[0];

/** Silence of all targets at once: none of them writes anything for a request until the silence of that request has ended. */
export class SharedSilence {
    readonly #durationMs: number;
    readonly #endsByRequest = new Map<string, number>();

    private constructor(durationMs: number) {
        this.#durationMs = durationMs;
    }

    /** Creates a silence that lasts for `durationMs` from the moment at which it begins for a request. */
    static create(durationMs: number): SharedSilence {
        return new SharedSilence(durationMs);
    }

    /** Begins the silence of a request, unless it has begun. */
    start({ requestId }: RawRequest): void {
        if (!this.#endsByRequest.has(requestId)) {
            this.#endsByRequest.set(requestId, performance.now() + this.#durationMs);
        }
    }

    /** Runs a function once the silence of a request has ended; at once if it has not begun. */
    runAfter({ requestId }: RawRequest, run: () => void): void {
        const remainingMs = (this.#endsByRequest.get(requestId) ?? 0) - performance.now();
        if (remainingMs <= 0) {
            run();
            return;
        }
        setTimeout(run, remainingMs);
    }
}
