import type { Agent } from "node:http";
import { TargetAgent } from "./targetAgent.js";

/** A request on a kept connection is retried if the target has closed it meanwhile, so idle ones are kept for long. */
const IDLE_MS = 4000;

/** Connections to targets. */
export class TargetAgents {
    readonly #kept = TargetAgent.create(IDLE_MS);
    readonly #dedicated = TargetAgent.createDedicated();

    /** Creates empty pools. */
    static create(): TargetAgents {
        return new TargetAgents();
    }

    /**
     * Returns the pool for an attempt.
     *
     * @param mayRunAgain False if the request must not be executed again after this attempt. Its connection then carries no
     * other request, so that a refusal without an identifier, which is the usual form, is certain to be meant for it.
     */
    getAgent(mayRunAgain: boolean): Agent {
        return mayRunAgain ? this.#kept : this.#dedicated;
    }

    /** Number of open connections. */
    get openConnections(): number {
        return this.#kept.openConnections + this.#dedicated.openConnections;
    }

    /** Closes all connections. */
    close(): void {
        this.#kept.destroy();
        this.#dedicated.destroy();
    }
}
