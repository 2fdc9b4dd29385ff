import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { LinkConnection } from "./linkConnection.js";
import type { LinkFault } from "./linkFault.js";

/** One listener of the fault proxy and the connections through it. */
export class FaultLink {
    readonly #server: Server;
    readonly #connections = new Map<number, LinkConnection>();
    #target = "";
    #fault: LinkFault = {};
    #accepted = 0;
    #forwardBytes = 0;
    #backwardBytes = 0;
    #droppedBytes = 0;

    private constructor() {
        this.#server = createServer({ allowHalfOpen: true }, socket => this.#accept(socket));
    }

    /** Starts a link on a free port. While the target is empty, the link resets every connection. */
    static async create(target: string): Promise<FaultLink> {
        const link = new FaultLink();
        link.#target = target;
        await new Promise<void>(resolve => link.#server.listen(0, "127.0.0.1", resolve));
        return link;
    }

    /** Sets the address (host:port) that new connections go to. */
    setTarget(target: string): void {
        this.#target = target;
    }

    /** Replaces the fault of the link. */
    setFault(fault: LinkFault): void {
        this.#fault = fault;
        for (const connection of this.#connections.values()) {
            connection.applyFault();
        }
    }

    /** Resets every open connection. */
    reset(): void {
        for (const connection of this.#connections.values()) {
            connection.reset();
        }
    }

    /** Holds or releases one connection. Returns false if there is no such connection. */
    setHeld(id: number, held: boolean): boolean {
        const connection = this.#connections.get(id);
        connection?.setHeld(held);
        return connection !== undefined;
    }

    /** Stops listening and resets every connection. */
    close(): void {
        this.#server.close();
        this.reset();
    }

    /** Returns the addresses, fault, connections and byte counts that control calls report. */
    describe(): object {
        return {
            address: `127.0.0.1:${(this.#server.address() as AddressInfo).port}`,
            target: this.#target,
            fault: this.#fault,
            connections: [...this.#connections.keys()],
            accepted: this.#accepted,
            forwardBytes: this.#forwardBytes,
            backwardBytes: this.#backwardBytes,
            droppedBytes: this.#droppedBytes,
        };
    }

    #accept(client: Socket): void {
        this.#accepted += 1;
        const id = this.#accepted;
        if (this.#fault.mode === "cut" || this.#target === "") {
            client.on("error", () => undefined);
            client.resetAndDestroy();
            return;
        }
        this.#connections.set(
            id,
            LinkConnection.create({
                id,
                client,
                target: this.#target,
                getFault: () => this.#fault,
                countForward: bytes => this.#forwardBytes += bytes,
                countBackward: bytes => this.#backwardBytes += bytes,
                countDropped: bytes => this.#droppedBytes += bytes,
                onClose: () => this.#connections.delete(id),
            }),
        );
    }
}
