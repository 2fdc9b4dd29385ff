import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { abortResponse } from "./abortResponse.js";
import { writeProbe } from "./writeProbe.js";

interface HalfClosedCallerOptions {
    readonly socket: Socket;
    /** Returns the response that is being sent, or is the next one. */
    readonly getResponse: () => ServerResponse | undefined;
    /** Monotonic time in milliseconds at which the caller closed its side. */
    readonly closedAt: number;
}

/** A caller that is gone answers a probe with a reset, which takes a round trip. */
const VERDICT_MS = 150;
/** A response of a known length leaves no room for a probe but its own next bytes. */
const WRITE_MS = 300;
/** A reset is looked for at growing intervals; one that comes without a write, because of unread bytes, within the longest. */
const MIN_CHECK_MS = 20;
const MAX_CHECK_MS = 500;
/** A quarter of the time since the last bytes were written. */
const CHECK_SHARE = 0.25;
/** A caller may leave while it waits, which nothing but a further probe shows; each comes after twice the time of the one before. */
const FIRST_PROBE_MS = 1000;
/** The last one comes two minutes after the first. Some clients read 16 digits of the size of a chunk at most. */
const MAX_PROBES = 8;

/** A caller that has closed its side of a connection while responses are due. */
export class HalfClosedCaller {
    readonly #options: HalfClosedCallerOptions;
    /** Bytes that had been written at the last check; what is written later shows whether the caller still reads. */
    #bytesWritten: number;
    /** Monotonic time in milliseconds at which the last bytes were seen to be written; `undefined` before. */
    #wroteAt: number | undefined;
    /** Monotonic time in milliseconds at which the caller counts as gone if nothing has been written by then. */
    #writeBy: number;
    /** Monotonic times in milliseconds of the next check for a reset, and of the next probe. */
    #checkAt: number;
    #probeAt: number;
    #probes = 0;

    private constructor(options: HalfClosedCallerOptions) {
        const { socket, closedAt } = options;
        this.#options = options;
        this.#bytesWritten = socket.bytesWritten;
        this.#writeBy = closedAt + WRITE_MS;
        this.#checkAt = closedAt + MIN_CHECK_MS;
        this.#probeAt = closedAt + FIRST_PROBE_MS;
        this.#writeProbe();
    }

    /** Creates a caller that has closed its side a moment ago, and writes the first probe. */
    static create(options: HalfClosedCallerOptions): HalfClosedCaller {
        return new HalfClosedCaller(options);
    }

    /** Monotonic time in milliseconds until which its requests wait to be passed on. */
    get verdictAt(): number {
        return this.#options.closedAt + VERDICT_MS;
    }

    /**
     * Looks for a reset, or writes a probe, if it is time.
     *
     * @param now Monotonic time in milliseconds.
     * @param delayMs Time for which the process was suspended, or its event loop delayed, since the check before: what was to be
     * written meanwhile has not been read yet.
     */
    check(now: number, delayMs: number): void {
        this.#writeBy += delayMs;
        if (now < this.#checkAt) {
            return;
        }
        const { socket, getResponse, closedAt } = this.#options;
        const response = getResponse();
        if (!response || socket.writableLength > 0 || socket.writableEnded) {
            this.#checkAt = now + MIN_CHECK_MS;
            return;
        }
        if (now >= this.#probeAt) {
            this.#probeAt = now + now - closedAt;
            this.#writeProbe();
        }
        if (socket.bytesWritten > this.#bytesWritten) {
            this.#bytesWritten = socket.bytesWritten;
            this.#wroteAt = now;
        }
        if (this.#wroteAt !== undefined) {
            // Node.js does not report a reset behind the end of what was read; a write of no bytes fails after one.
            socket.write("");
        }
        else if (now >= this.#writeBy) {
            abortResponse(response);
        }
        const sinceMs = now - (this.#wroteAt ?? now);
        this.#checkAt = now + Math.min(MAX_CHECK_MS, Math.max(MIN_CHECK_MS, sinceMs * CHECK_SHARE));
    }

    #writeProbe(): void {
        const response = this.#options.getResponse();
        if (response && this.#probes < MAX_PROBES) {
            this.#probes += 1;
            writeProbe(response);
        }
    }
}
