import type { RequestForwarder } from "./requestForwarder.js";

/** Requests that are being served. */
export class ActiveRequests {
    readonly #forwarders = new Set<RequestForwarder>();

    /** Creates an empty set. */
    static create(): ActiveRequests {
        return new ActiveRequests();
    }

    get size(): number {
        return this.#forwarders.size;
    }

    /** Adds a request that is about to be served. */
    add(forwarder: RequestForwarder): void {
        this.#forwarders.add(forwarder);
    }

    /** Removes a request that has ended. */
    delete(forwarder: RequestForwarder): void {
        this.#forwarders.delete(forwarder);
    }

    /** Checks the deadlines and the targets of all requests. */
    checkTimeouts(now: number): void {
        this.#forwarders.forEach(forwarder => forwarder.checkTimeouts(now));
    }

    /** Ends all requests because the instance stops. */
    stop(): void {
        this.#forwarders.forEach(forwarder => forwarder.stop());
    }
}
