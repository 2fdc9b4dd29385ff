import { planEnd } from "../core/routing/planEnd.js";
import type { Router } from "../router/router.js";
import { LookupServer } from "./lookupServer.js";

/**
 * Starts the servers of a router that exchanges reports with its peers. The port for callers is the last one, so that a
 * process that may still fail to start accepts none.
 *
 * @throws PortError when an address cannot be bound; everything is closed then, also the router.
 */
export async function startServers(
    router: Router,
    lookupOptions: Parameters<typeof LookupServer.create>[0],
): Promise<LookupServer> {
    let lookup: LookupServer | undefined;
    try {
        lookup = await LookupServer.create(lookupOptions);
        await router.serveCallers();
        return lookup;
    }
    catch (error) {
        const now = performance.now();
        const plan = planEnd(now, now);
        await lookup?.close(plan);
        await router.close(plan);
        throw error;
    }
}
