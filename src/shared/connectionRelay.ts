import { getSystemErrorName } from "node:util";
import type { findStreamBinding } from "./findStreamBinding.js";
import type { SocketHandle } from "./socketHandle.js";

interface ConnectionRelayOptions {
    readonly binding: NonNullable<ReturnType<typeof findStreamBinding>>;
    /** The caller's connection, which is not being read. */
    readonly caller: SocketHandle;
    /** Connection to the other instance. */
    readonly peer: SocketHandle;
    /** What has been read from the caller. */
    readonly received: Buffer;
    /** Called with the first bytes of the response: whether they refuse the request. */
    readonly onResponse: (isRefused: boolean) => void;
    /** Called when the connection to the other instance fails. */
    readonly onFailed: (error: Error) => void;
    /** Called once both connections are closed, maybe before `create` returns. */
    readonly onClosed: (relay: ConnectionRelay) => void;
}

/** Longer than any pause that the timeouts of requests and streams allow. */
const IDLE_TIMEOUT_MS = 60_000;
/** A caller has this long to close its side after the response. */
const LINGER_MS = 1000;
const REFUSALS: readonly string[] = ["HTTP/1.1 503", "HTTP/1.1 429"];
const BAD_GATEWAY = Buffer.from(
    "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    "latin1",
);

/** Relays the bytes between a caller and another instance, and the way in which either side ends. */
export class ConnectionRelay {
    readonly #options: ConnectionRelayOptions;
    /** Sides that have been told of the end of the other one. */
    readonly #told = new Set<SocketHandle>();
    #hasResponse = false;
    #hasPeerEnded = false;
    #isClosed = false;
    /** Monotonic time in milliseconds at which the connections are closed unless there are more bytes. */
    #until = performance.now() + IDLE_TIMEOUT_MS;

    private constructor(options: ConnectionRelayOptions) {
        this.#options = options;
    }

    /** Starts to relay. */
    static create(options: ConnectionRelayOptions): ConnectionRelay {
        const relay = new ConnectionRelay(options);
        const { caller, peer, received } = options;
        relay.#write(peer, received, () => undefined);
        relay.#relay(caller, peer);
        relay.#relay(peer, caller);
        return relay;
    }

    /** True once both connections are closed. */
    get isClosed(): boolean {
        return this.#isClosed;
    }

    /** Closes connections on which nothing has happened for too long, or whose caller turns out to be gone. */
    check(now: number): void {
        const { caller, peer } = this.#options;
        // Nothing is read any more from a half-closed caller that could tell of a reset; a connection that was reset has no peer.
        const isCallerGone = this.#told.has(peer) && caller.getpeername({}) < 0;
        if (this.#until <= now || isCallerGone) {
            this.close();
        }
    }

    /** Ends the wait for a response that has not begun. */
    end(): void {
        if (!this.#hasResponse) {
            this.#endResponse();
        }
    }

    /** Closes both connections at once, with resets unless they have ended in order. */
    close(): void {
        if (this.#isClosed) {
            return;
        }
        this.#isClosed = true;
        const { caller, peer, onClosed } = this.#options;
        // A response that ends with its connection must not look whole if it broke off, and the other instance must not go on for a
        // caller that seems to have closed its sending side only.
        const ends: readonly (readonly [SocketHandle, isInOrder: boolean])[] = [
            [caller, this.#told.has(caller)],
            [peer, this.#hasPeerEnded],
        ];
        ends.forEach(([side, isInOrder]) => {
            // A side that still sends its last bytes cannot be reset.
            if (isInOrder || side.reset() < 0) {
                side.close();
            }
        });
        onClosed(this);
    }

    #relay(from: SocketHandle, to: SocketHandle): void {
        const { binding, caller, onResponse } = this.#options;
        from.onread = bytes => {
            const { length, offset } = binding.getLastRead();
            if (length === 0 || this.#isClosed) {
                return;
            }
            if (!bytes || length < 0) {
                this.#onEnd(from, to, getSystemErrorName(length));
                return;
            }
            this.#until = performance.now() + IDLE_TIMEOUT_MS;
            const chunk = Buffer.from(bytes, offset, length);
            if (to === caller && !this.#hasResponse) {
                this.#hasResponse = true;
                onResponse(REFUSALS.some(start => chunk.toString("latin1", 0, start.length) === start));
            }
            let isWritten = false;
            this.#write(to, chunk, () => {
                if (isWritten && !this.#isClosed) {
                    from.readStart();
                }
                isWritten = true;
            });
            if (!isWritten && !this.#isClosed) {
                isWritten = true;
                from.readStop();
            }
        };
        from.readStart();
    }

    /** @param onWritten Called once the bytes have left the process, maybe before this returns. */
    #write(to: SocketHandle, bytes: Buffer, onWritten: () => void): void {
        const status = this.#options.binding.write(to, bytes, onWritten);
        if (status < 0) {
            this.#fail(to, getSystemErrorName(status));
        }
    }

    #onEnd(from: SocketHandle, to: SocketHandle, code: string): void {
        if (code !== "EOF") {
            this.#fail(from, code);
            return;
        }
        from.readStop();
        if (to === this.#options.caller) {
            this.#hasPeerEnded = true;
            this.#endResponse();
        }
        else {
            this.#end(to);
        }
    }

    /** Ends a side. Everything has been written to it: the other one is read only once that has been. */
    #end(side: SocketHandle): void {
        const status = this.#options.binding.end(side);
        if (status < 0) {
            this.#fail(side, getSystemErrorName(status));
            return;
        }
        this.#told.add(side);
        if (this.#told.size === 2) {
            this.close();
        }
    }

    #fail(side: SocketHandle, code: string): void {
        const { peer, onFailed } = this.#options;
        if (side === peer) {
            onFailed(Object.assign(new Error(code), { code }));
            if (!this.#hasResponse) {
                this.#endResponse();
                this.#told.add(peer);
                return;
            }
        }
        this.close();
    }

    #endResponse(): void {
        const { binding, caller, peer } = this.#options;
        if (!this.#hasResponse) {
            // The other instance may have run the request; what it still sends is for nobody.
            this.#hasResponse = true;
            peer.readStop();
            binding.write(caller, BAD_GATEWAY, () => undefined);
        }
        this.#end(caller);
        this.#until = performance.now() + LINGER_MS;
    }
}
