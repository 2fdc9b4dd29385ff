import { write } from "node:fs";
import { openLogOutput } from "./openLogOutput.js";

/** Lines are buffered for this long, so that one call writes many. */
const FLUSH_INTERVAL_MS = 250;
/** Lines beyond this buffer size are dropped while the reader of the log does not keep up. */
const MAX_BUFFERED_BYTES = 262_144;
const WRITE_RETRY_MS = 50;
/** The last write of the log ends before the process would be killed. */
const CLOSE_TIMEOUT_MS = 150;
/** Opened with the first write, since many logs of one process share it. */
let output: number | undefined;

/** Writes structured log lines to standard output without ever blocking; counts the lines that it drops. */
export class LogSink {
    readonly #fields: Readonly<Record<string, string | number>>;
    #lines: string[] = [];
    #bytes = 0;
    #isWriting = false;
    #timer: NodeJS.Timeout | undefined;
    #dropped = 0;
    #droppedTotal = 0;
    /** Set while `close` waits for the last write. */
    #onWritten: (() => void) | undefined;

    private constructor(fields: Readonly<Record<string, string | number>>) {
        this.#fields = fields;
    }

    /** Creates a log that adds the given fields to each line. */
    static create(fields: Readonly<Record<string, string | number>>): LogSink {
        return new LogSink(fields);
    }

    /** Lines dropped since the start. */
    get droppedTotal(): number {
        return this.#droppedTotal;
    }

    /** Buffers a line for an event, or drops and counts it if the buffer is full. */
    write(event: string, fields: object): void {
        const line = `${JSON.stringify({ at: Date.now(), event, ...this.#fields, ...fields })}\n`;
        if (this.#bytes + line.length > MAX_BUFFERED_BYTES) {
            this.#dropped += 1;
            this.#droppedTotal += 1;
            return;
        }
        this.#lines.push(line);
        this.#bytes += line.length;
        this.#timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
    }

    /** Writes the buffered lines, unless a write is in progress. */
    flush(): void {
        clearTimeout(this.#timer);
        this.#timer = undefined;
        if (this.#isWriting || this.#lines.length === 0) {
            return;
        }
        if (this.#dropped > 0) {
            this.#lines.push(
                `${JSON.stringify({ at: Date.now(), event: "log-dropped", count: this.#dropped })}\n`,
            );
            this.#dropped = 0;
        }
        const data = Buffer.from(this.#lines.join(""));
        this.#lines = [];
        this.#bytes = 0;
        this.#isWriting = true;
        this.#writeAll(data);
    }

    /** Writes the buffered lines and waits until that is done, or for a limited time if nobody reads the log. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.#onWritten = resolve;
            setTimeout(resolve, CLOSE_TIMEOUT_MS);
            this.flush();
            this.#notifyWritten();
        });
    }

    #notifyWritten(): void {
        if (!this.#isWriting && this.#lines.length === 0) {
            this.#onWritten?.();
        }
    }

    #writeAll(data: Buffer): void {
        output ??= openLogOutput();
        write(output, data, (error, written) => {
            const remaining = error ? data : data.subarray(written);
            if (error && error.code !== "EAGAIN") {
                // Standard output cannot be written any more, and there is nowhere else to report it.
                this.#droppedTotal += 1;
                this.#isWriting = false;
                this.#onWritten?.();
                return;
            }
            if (remaining.length > 0) {
                setTimeout(() => this.#writeAll(remaining), WRITE_RETRY_MS);
                return;
            }
            this.#isWriting = false;
            this.#notifyWritten();
            if (this.#onWritten) {
                this.flush();
            }
            else if (this.#lines.length > 0) {
                this.#timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
            }
        });
    }
}
