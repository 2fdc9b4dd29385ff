/** Parts of a target's responses that a silence holds back. */
type SilentParts = "all" | "events";

/** Period in which a target writes nothing, although its process and its connections live on. */
export class Silence {
    /** Monotonic times in milliseconds until which responses and events of streams are held back. */
    #untilForAll = 0;
    #untilForEvents = 0;

    private constructor() {
        // Created by `create`.
    }

    /** Creates a silence that holds nothing back. */
    static create(): Silence {
        return new Silence();
    }

    /** Holds back whole responses, or only the events of streams, until a monotonic time in milliseconds. */
    pause(until: number, parts: SilentParts): void {
        this.#untilForEvents = Math.max(this.#untilForEvents, until);
        this.#untilForAll = parts === "all" ? Math.max(this.#untilForAll, until) : this.#untilForAll;
    }

    /** Waits until the head of a response, or the next event of a stream, may be written. */
    async wait(part: "head" | "event"): Promise<void> {
        for (let ms = this.#computeRestMs(part); ms > 0; ms = this.#computeRestMs(part)) {
            await new Promise(resolve => setTimeout(resolve, ms));
        }
    }

    #computeRestMs(part: "head" | "event"): number {
        return Math.ceil((part === "head" ? this.#untilForAll : this.#untilForEvents) - performance.now());
    }
}
