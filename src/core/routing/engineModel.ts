import { DecayingSum } from "./decayingSum.js";

interface EngineModelOptions {
    /** Prefill rate in prompt tokens per millisecond that is assumed until responses show it. */
    readonly priorTokensPerMs: number;
}

/** Responses that are older than a few of these no longer count. */
const WINDOW_MS = 10_000;
/** Prompt tokens by which the prior counts. */
const PRIOR_TOKENS = 20_000;
/** With fewer prompt tokens ahead, the time to the first event shows the base time of an engine and not its rate. */
const MIN_SAMPLE_TOKENS = 1500;
/** A response that took longer than this multiple of the expected time shows a fault rather than the engine's rate. */
const MAX_DEVIATION = 3;
const MIN_TOKENS_PER_MS = 5;

/** Learns from responses how fast the engines of a service read prompts, under the load of their running requests. */
export class EngineModel {
    readonly #priorTokensPerMs: number;
    readonly #tokens = DecayingSum.create(WINDOW_MS);
    readonly #ms = DecayingSum.create(WINDOW_MS);

    private constructor(options: EngineModelOptions) {
        this.#priorTokensPerMs = options.priorTokensPerMs;
    }

    /** Creates a model that knows no response. */
    static create(options: EngineModelOptions): EngineModel {
        return new EngineModel(options);
    }

    /** Returns the prompt tokens that an engine reads per millisecond. */
    getPrefillTokensPerMs(now: number): number {
        const tokens = this.#tokens.get(now) + PRIOR_TOKENS;
        const ms = this.#ms.get(now) + PRIOR_TOKENS / this.#priorTokensPerMs;
        return Math.max(MIN_TOKENS_PER_MS, tokens / ms);
    }

    /**
     * Records the first event of a response.
     *
     * @param tokens Prompt tokens that the engine had to read before it, those of earlier requests included.
     * @param readingMs Time in milliseconds from the grant to the first event, less the base time and the network.
     */
    recordFirstEvent(tokens: number, readingMs: number, now: number): void {
        if (tokens < MIN_SAMPLE_TOKENS) {
            return;
        }
        const expectedMs = tokens / this.getPrefillTokensPerMs(now);
        const boundedMs = Math.min(
            expectedMs * MAX_DEVIATION,
            Math.max(expectedMs / MAX_DEVIATION, readingMs),
        );
        this.#tokens.add(tokens, now);
        this.#ms.add(boundedMs, now);
    }
}
