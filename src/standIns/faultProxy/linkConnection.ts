import { connect, type Socket } from "node:net";
import { ByteChannel } from "./byteChannel.js";
import type { LinkFault } from "./linkFault.js";

interface LinkConnectionOptions {
    readonly id: number;
    readonly client: Socket;
    /** host:port */
    readonly target: string;
    readonly getFault: () => LinkFault;
    readonly countForward: (bytes: number) => void;
    readonly countBackward: (bytes: number) => void;
    readonly countDropped: (bytes: number) => void;
    readonly onClose: () => void;
}

/** One connection through a link. */
export class LinkConnection {
    readonly id: number;
    readonly #client: Socket;
    readonly #upstream: Socket;
    readonly #channels: readonly ByteChannel[];
    readonly #getFault: () => LinkFault;
    #held = false;
    #backwardBytes = 0;
    /** Bytes from the target since the current fault of the link began. */
    #backwardBytesOfFault = 0;

    private constructor(options: LinkConnectionOptions) {
        const [host, port] = options.target.split(":");
        this.id = options.id;
        this.#getFault = options.getFault;
        this.#client = options.client;
        this.#client.setNoDelay(true);
        this.#upstream = connect({
            host: host ?? "",
            port: Number(port),
            noDelay: true,
            allowHalfOpen: true,
        });
        const getDelayMs = (): number => options.getFault().delayMs ?? 0;
        this.#channels = [
            ByteChannel.create({
                from: this.#client,
                to: this.#upstream,
                getDelayMs,
                getMode: () => this.#getMode("forward"),
                getRestBytes: () => Number.POSITIVE_INFINITY,
                countForwarded: options.countForward,
                countDropped: options.countDropped,
                onReset: () => this.reset(),
            }),
            ByteChannel.create({
                from: this.#upstream,
                to: this.#client,
                getDelayMs,
                getMode: () => this.#getMode("backward"),
                getRestBytes: () =>
                    Math.max(0, (this.#getFault().holdAfterBytes ?? Infinity) - this.#backwardBytesOfFault),
                countForwarded: bytes => {
                    options.countBackward(bytes);
                    this.#countBackward(bytes);
                },
                countDropped: options.countDropped,
                onReset: () => this.reset(),
            }),
        ];
        for (const socket of [this.#client, this.#upstream]) {
            socket.on("error", () => this.reset());
            socket.on("close", () => {
                if (this.#client.destroyed && this.#upstream.destroyed) {
                    options.onClose();
                }
            });
        }
    }

    /** Connects to the target and forwards both directions. */
    static create(options: LinkConnectionOptions): LinkConnection {
        return new LinkConnection(options);
    }

    /** Holds or releases the bytes of this connection only. */
    setHeld(held: boolean): void {
        this.#held = held;
        this.applyFault();
    }

    /** Applies the current fault of the link. A connection that lost bytes is reset once its link heals. */
    applyFault(): void {
        const fault = this.#getFault();
        this.#backwardBytesOfFault = 0;
        const healed = this.#getMode("forward") === "pass" && this.#getMode("backward") === "pass";
        if (fault.mode === "cut" || (healed && this.#channels.some(channel => channel.hasLostBytes))) {
            this.reset();
            return;
        }
        for (const channel of this.#channels) {
            channel.flush();
        }
    }

    /** Resets both sides. */
    reset(): void {
        this.#client.resetAndDestroy();
        this.#upstream.resetAndDestroy();
    }

    #getMode(direction: "forward" | "backward"): "pass" | "hold" | "drop" {
        const fault = this.#getFault();
        if (fault.mode === "halfOpen") {
            return "drop";
        }
        return this.#held ? "hold" : fault[direction] ?? "pass";
    }

    #countBackward(bytes: number): void {
        this.#backwardBytes += bytes;
        this.#backwardBytesOfFault += bytes;
        if (this.#backwardBytes >= (this.#getFault().resetAfterBytes ?? Infinity)) {
            setImmediate(() => this.reset());
        }
    }
}
