import type { Socket } from "node:net";

interface QueuedChunk {
    /** `undefined` marks the end of the stream. */
    readonly bytes: Buffer | undefined;
    /** Monotonic time in milliseconds before which the chunk is not sent. */
    readonly dueAt: number;
}

interface ByteChannelOptions {
    readonly from: Socket;
    readonly to: Socket;
    readonly getDelayMs: () => number;
    readonly getMode: () => "pass" | "hold" | "drop";
    /** Returns how many bytes may be forwarded before the channel holds the rest. */
    readonly getRestBytes: () => number;
    readonly countForwarded: (bytes: number) => void;
    readonly countDropped: (bytes: number) => void;
    readonly onReset: () => void;
}

/** Forwards one direction of a connection in order. After bytes were lost the connection must not be reused. */
export class ByteChannel {
    readonly #options: ByteChannelOptions;
    readonly #queue: QueuedChunk[] = [];
    #timer: NodeJS.Timeout | undefined;
    #hasLostBytes = false;

    private constructor(options: ByteChannelOptions) {
        this.#options = options;
        options.from.on("data", (bytes: Buffer) => this.#push(bytes));
        // libuv reports the end of a connection, and no error, if it reads the last bytes and a reset at once.
        options.from.on(
            "end",
            () => options.from.remoteAddress === undefined ? options.onReset() : this.#push(undefined),
        );
        options.to.on("drain", () => options.from.resume());
    }

    /** Creates a channel that forwards from now on. */
    static create(options: ByteChannelOptions): ByteChannel {
        return new ByteChannel(options);
    }

    /** True if bytes were dropped. */
    get hasLostBytes(): boolean {
        return this.#hasLostBytes;
    }

    /** Sends the chunks that are due. Must be called after each change of the fault. */
    flush(): void {
        clearTimeout(this.#timer);
        this.#timer = undefined;
        while (this.#queue[0] && this.#options.getMode() === "pass") {
            const waitMs = this.#queue[0].dueAt - performance.now();
            if (waitMs > 0) {
                this.#timer = setTimeout(() => this.flush(), waitMs);
                return;
            }
            const { bytes, dueAt } = this.#queue[0];
            const restBytes = this.#options.getRestBytes();
            if ((bytes?.length ?? 1) > restBytes) {
                this.#queue[0] = { bytes: bytes?.subarray(restBytes), dueAt };
                if (restBytes > 0) {
                    this.#send(bytes?.subarray(0, restBytes));
                }
                return;
            }
            this.#queue.shift();
            this.#send(bytes);
        }
    }

    #push(bytes: Buffer | undefined): void {
        if (this.#options.getMode() === "drop") {
            this.#hasLostBytes = true;
            this.#options.countDropped(bytes?.length ?? 0);
            return;
        }
        this.#queue.push({ bytes, dueAt: performance.now() + this.#options.getDelayMs() });
        if (!this.#timer) {
            this.flush();
        }
    }

    #send(bytes: Buffer | undefined): void {
        if (bytes === undefined) {
            this.#options.to.end();
            return;
        }
        this.#options.countForwarded(bytes.length);
        if (!this.#options.to.write(bytes)) {
            this.#options.from.pause();
        }
    }
}
