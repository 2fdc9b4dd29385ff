/** Checks a server-sent event stream token by token against the expected response while it arrives. */
export class StreamVerifier {
    readonly #expected: readonly string[];
    #buffer = "";
    #nextIndex = 0;
    #state: "open" | "done" | "wrong" | "error" = "open";
    #problem: { readonly outcome?: string; readonly code?: string; } | undefined;

    private constructor(expected: readonly string[]) {
        this.#expected = expected;
    }

    /** Creates a verifier that has received nothing. */
    static create(expected: readonly string[]): StreamVerifier {
        return new StreamVerifier(expected);
    }

    /** `done` only if every token came once, in order, and `[DONE]` ended the stream. */
    get state(): "open" | "done" | "wrong" | "error" {
        return this.#state;
    }

    /** Number of correct tokens received. */
    get tokens(): number {
        return this.#nextIndex;
    }

    /** Content of the `error` event, if the stream ended with one. */
    get problem(): { readonly outcome?: string; readonly code?: string; } | undefined {
        return this.#problem;
    }

    /** Processes received text, which may end within an event. */
    push(text: string): void {
        this.#buffer += text;
        for (let end = this.#buffer.indexOf("\n\n"); end >= 0; end = this.#buffer.indexOf("\n\n")) {
            this.#handleEvent(this.#buffer.slice(0, end));
            this.#buffer = this.#buffer.slice(end + 2);
        }
    }

    #handleEvent(event: string): void {
        const lines = event.split("\n");
        const data = lines.find(line => line.startsWith("data: "))?.slice(6);
        if (lines.some(line => line === "event: error")) {
            this.#state = this.#state === "wrong" ? "wrong" : "error";
            this.#problem = tryParse(data);
            return;
        }
        if (data === undefined) {
            return;
        }
        if (this.#state !== "open") {
            this.#state = "wrong";
            return;
        }
        if (data === "[DONE]") {
            this.#state = this.#nextIndex === this.#expected.length ? "done" : "wrong";
            return;
        }
        const chunk = tryParse(data);
        if (chunk?.["index"] !== this.#nextIndex || chunk["token"] !== this.#expected[this.#nextIndex]) {
            this.#state = "wrong";
            return;
        }
        this.#nextIndex += 1;
    }
}

function tryParse(text: string | undefined): Record<string, unknown> | undefined {
    try {
        return JSON.parse(text ?? "") as Record<string, unknown>;
    }
    catch {
        return undefined;
    }
}
