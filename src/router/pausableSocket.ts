import { type OnReadOpts, Socket, type SocketConstructorOpts, type TcpNetConnectOpts } from "node:net";

const READ_BUFFER_BYTES = 65_536;

/** Shared by all connections, since each read is copied out of it at once. */
const readBuffer = Buffer.allocUnsafe(READ_BUFFER_BYTES);

/**
 * Connection that can stop reading from the operating system, so that what arrives meanwhile is read at once. `pause` of a
 * plain socket does not do that: it reads on into a buffer, and the HTTP client resumes it whenever it wants more.
 */
export class PausableSocket extends Socket {
    #isHeld = false;

    private constructor(options: TcpNetConnectOpts) {
        const onread: OnReadOpts = {
            buffer: readBuffer,
            callback: (length, buffer) => this.push(Buffer.from(buffer.subarray(0, length))),
        };
        // The type definitions know the options for `connect` only, which hands them to the constructor, like `noDelay`.
        super({ ...options, onread } as SocketConstructorOpts);
    }

    /** Opens a connection. */
    static create(options: TcpNetConnectOpts): PausableSocket {
        const socket = new PausableSocket(options);
        socket.connect(options);
        return socket;
    }

    /** Stops reading, whatever else asks for data, until `releaseReading`. */
    pauseReading(): void {
        this.#isHeld = true;
        super.pause();
    }

    /** Reads on. */
    releaseReading(): void {
        if (this.#isHeld) {
            this.#isHeld = false;
            super.resume();
        }
    }

    override resume(): this {
        return this.#isHeld ? this : super.resume();
    }

    override read(size?: number): unknown {
        // `read` of a plain socket reads on from the operating system, whether or not the socket is paused.
        return this.#isHeld ? null : super.read(size);
    }
}
