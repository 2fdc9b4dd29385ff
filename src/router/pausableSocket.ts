import { type OnReadOpts, Socket, type SocketConstructorOpts, type TcpNetConnectOpts } from "node:net";

const READ_BUFFER_BYTES = 65_536;

/** Shared by all connections, since the data of each read is copied immediately. */
const readBuffer = Buffer.allocUnsafe(READ_BUFFER_BYTES);

/**
 * Connection that can stop reading from the operating system, so that data that arrives meanwhile is read in one go.
 * `pause` of a plain socket does not do that: the socket keeps reading into a buffer, and the HTTP client resumes it
 * whenever it wants more data.
 */
export class PausableSocket extends Socket {
    #isReadingPaused = false;
    #endDelayMs = 0;

    private constructor(options: TcpNetConnectOpts) {
        const onread: OnReadOpts = {
            buffer: readBuffer,
            callback: (length, buffer) => this.push(Buffer.from(buffer.subarray(0, length))),
        };
        // The types list these options for `connect` only, which passes them to the constructor, like `noDelay`.
        super({ ...options, onread } as SocketConstructorOpts);
    }

    /** Opens a connection. */
    static create(options: TcpNetConnectOpts): PausableSocket {
        const socket = new PausableSocket(options);
        socket.connect(options);
        return socket;
    }

    /** Stops reading until `resumeReading`, even if other code calls `resume` or `read`. */
    pauseReading(): void {
        this.#isReadingPaused = true;
        super.pause();
    }

    /** Resumes reading if `pauseReading` has stopped it. */
    resumeReading(): void {
        if (this.#isReadingPaused) {
            this.#isReadingPaused = false;
            super.resume();
        }
    }

    /** Delays the end of what is read by a time in milliseconds, after which a reset that follows it is known. */
    setEndDelay(delayMs: number): void {
        this.#endDelayMs = delayMs;
    }

    override push(chunk: unknown, encoding?: BufferEncoding): boolean {
        if (chunk !== null || this.#endDelayMs === 0) {
            return super.push(chunk, encoding);
        }
        const end = (): void => {
            if (!this.destroyed) {
                super.push(null);
            }
        };
        setTimeout(end, this.#endDelayMs);
        return false;
    }

    override resume(): this {
        return this.#isReadingPaused ? this : super.resume();
    }

    override read(size?: number): unknown {
        // `read` of a plain socket reads from the operating system even while the socket is paused.
        return this.#isReadingPaused ? null : super.read(size);
    }
}
