import type { Agent } from "node:http";
import type { RouteRule } from "../core/routing/routeRule.js";
import { TargetAgent } from "./targetAgent.js";

/** A repeatable request is retried if the target has closed the connection meanwhile, so idle ones are kept longer. */
const REPEATABLE_IDLE_MS = 4000;
/** A non-repeatable request reuses only a connection that was in use this recently. */
const SINGLE_RUN_IDLE_MS = 700;

/** Connection pools for targets, separate for repeatable and non-repeatable requests. */
export class TargetAgents {
    readonly #repeatable = TargetAgent.create(REPEATABLE_IDLE_MS);
    readonly #singleRun = TargetAgent.create(SINGLE_RUN_IDLE_MS);

    /** Creates empty pools. */
    static create(): TargetAgents {
        return new TargetAgents();
    }

    /** Returns the pool for a request, or `false` if it needs a dedicated connection. */
    getAgent(route: RouteRule, isRepeatable: boolean): Agent | false {
        if (isRepeatable) {
            return this.#repeatable;
        }
        return route.kind === "stream" ? this.#singleRun : false;
    }

    /** Closes all connections. */
    close(): void {
        this.#repeatable.destroy();
        this.#singleRun.destroy();
    }
}
