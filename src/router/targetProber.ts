import { connect, type Socket } from "node:net";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";

/**
 * Times after a broken connection at which a new one is opened: after the crash of a process the first one is refused, and
 * the later ones cover a process that is slow to end.
 */
const PROBE_TIMES_MS: readonly number[] = [30, 300, 1000];
const CONNECT_TIMEOUT_MS = 400;

/**
 * Finds out whether a target whose connection broke has crashed: its address then refuses connections. Without a probe an
 * instance would know only when its next request reaches the target, which can take seconds.
 */
export class TargetProber {
    readonly #onRefused: (targetId: string) => void;
    /** Timers of the next probe, by target. */
    readonly #timers = new Map<string, NodeJS.Timeout>();
    readonly #sockets = new Set<Socket>();

    private constructor(onRefused: (targetId: string) => void) {
        this.#onRefused = onRefused;
    }

    /**
     * Creates a prober.
     *
     * @param onRefused Called with the identifier of a target whose address refuses connections.
     */
    static create(onRefused: (targetId: string) => void): TargetProber {
        return new TargetProber(onRefused);
    }

    /** Checks a target a few times, unless it is being checked. */
    check({ id, address }: TargetDescriptor): void {
        if (!this.#timers.has(id)) {
            this.#schedule(id, address, performance.now(), 0);
        }
    }

    /** Ends all probes. */
    close(): void {
        this.#timers.forEach(timer => clearTimeout(timer));
        this.#timers.clear();
        this.#sockets.forEach(socket => socket.destroy());
    }

    /** @param brokenAt Monotonic time in milliseconds. */
    #schedule(id: string, address: string, brokenAt: number, step: number): void {
        const timeMs = PROBE_TIMES_MS[step];
        if (timeMs === undefined) {
            this.#timers.delete(id);
            return;
        }
        const delayMs = Math.max(0, brokenAt + timeMs - performance.now());
        this.#timers.set(id, setTimeout(() => this.#connect(id, address, brokenAt, step), delayMs));
    }

    #connect(id: string, address: string, brokenAt: number, step: number): void {
        const separator = address.lastIndexOf(":");
        const socket = connect({
            host: address.slice(0, separator),
            port: Number(address.slice(separator + 1)),
            timeout: CONNECT_TIMEOUT_MS,
        });
        this.#sockets.add(socket);
        let isRefused = false;
        socket.on("connect", () => socket.destroy());
        socket.on("timeout", () => socket.destroy());
        // Any other error leaves open whether the target runs; the next probe follows.
        socket.on("error", (error: NodeJS.ErrnoException) => {
            isRefused = error.code === "ECONNREFUSED";
        });
        socket.on("close", () => {
            this.#sockets.delete(socket);
            if (!this.#timers.has(id)) {
                return;
            }
            if (isRefused) {
                this.#timers.delete(id);
                this.#onRefused(id);
                return;
            }
            this.#schedule(id, address, brokenAt, step + 1);
        });
    }
}
