import type { Agent } from "node:http";
import type { RouteRule } from "../core/routing/routeRule.js";
import { TargetAgent } from "./targetAgent.js";

/** A repeatable request survives a connection that its target closed meanwhile, so the pool keeps them for longer. */
const REPEATABLE_IDLE_MS = 4000;
/** A request that may run once only goes to a connection that answered this shortly before. */
const SINGLE_RUN_IDLE_MS = 700;

/** Pools of connections to targets, by what a broken connection would mean for the request. */
export class TargetAgents {
    readonly #repeatable = TargetAgent.create(REPEATABLE_IDLE_MS);
    readonly #singleRun = TargetAgent.create(SINGLE_RUN_IDLE_MS);

    /** Creates empty pools. */
    static create(): TargetAgents {
        return new TargetAgents();
    }

    /** Returns the pool for a request, or `false` if it needs a connection of its own. */
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
