import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { Worker } from "node:worker_threads";
import type { CooperativeFleet } from "../../../src/testing/platform/cooperativeFleet.js";
import { waitUntil } from "../../../src/testing/waitUntil.js";

/** A connection over loopback that is not there after this time was not taken into the queue. */
const FULL_AFTER_MS = 150;

/** Sound target that accepts no connection for a time, because its event loop is blocked and its accept queue is full. */
export class UnacceptingTarget {
    readonly #gate = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    readonly #worker: Worker;
    readonly #requestIds: string[] = [];
    readonly #queued: Socket[] = [];
    #port = 0;
    #isBlocked = false;

    private constructor() {
        this.#worker = new Worker(new URL("./runBlockableServer.js", import.meta.url), {
            workerData: { gate: this.#gate },
        });
        this.#worker.on("message", (message: number | string) => {
            if (typeof message === "number") {
                this.#port = message;
            }
            else if (message === "blocked") {
                this.#isBlocked = true;
            }
            else {
                this.#requestIds.push(message);
            }
        });
    }

    /** Starts a target whose accept queue is full, and registers it. */
    static async create(
        fleet: CooperativeFleet,
        id: string,
        service: "engine" | "plain",
    ): Promise<UnacceptingTarget> {
        const target = new UnacceptingTarget();
        await waitUntil("the target listens", () => target.#port > 0);
        target.#worker.postMessage("block");
        await waitUntil("the target is blocked", () => target.#isBlocked);
        await target.#fillQueue();
        fleet.store.write(`servers/${id}`, {
            service,
            address: `127.0.0.1:${target.#port}`,
            zone: "a",
            slots: 16,
            state: "ready",
            coldRemainingMs: 0,
            version: "v1",
            sequence: 1,
            born: Date.now(),
        });
        return target;
    }

    /** Identifiers of the requests that have arrived. */
    get requestIds(): readonly string[] {
        return this.#requestIds;
    }

    /** Lets the target accept connections from now on. */
    accept(): void {
        Atomics.store(this.#gate, 0, 1);
        Atomics.notify(this.#gate, 0);
    }

    /** Ends the target. */
    async close(): Promise<void> {
        this.accept();
        this.#queued.forEach(socket => socket.destroy());
        await this.#worker.terminate();
    }

    /** Opens connections until the operating system takes no more of them for the target. */
    async #fillQueue(): Promise<void> {
        for (let isTaken = true; isTaken;) {
            const socket = connect(this.#port, "127.0.0.1");
            socket.on("error", () => undefined);
            this.#queued.push(socket);
            isTaken = await Promise.race([
                once(socket, "connect").then(() => true),
                new Promise<boolean>(resolve => setTimeout(() => resolve(false), FULL_AFTER_MS)),
            ]);
        }
    }
}
