import type { EndPlan } from "../core/routing/endPlan.js";
import type { ActiveRequests } from "./activeRequests.js";
import type { Ingress } from "./ingress.js";

/** Gives the requests that are open at the end of a stop a response, as far as they can get one, and closes all connections. */
export async function endOpenRequests(
    activeRequests: ActiveRequests,
    ingress: Ingress | undefined,
    plan: EndPlan,
): Promise<void> {
    ingress?.endKeepAlive();
    activeRequests.stop();
    await ingress?.end(plan);
}
