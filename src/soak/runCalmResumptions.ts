import { Agent } from "node:http";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import { sendSoakRequest } from "./sendSoakRequest.js";
import type { SoakObserver } from "./soakObserver.js";

/** Time without impairments after which an instance counts as calm. */
const CONTACT_MS = 4000;
const STREAMS = 48;
/** Events after which a caller's connection breaks, in turn. */
const MAX_BREAK_AFTER = 8;
/** Time in which the streams begin, before a target crashes. */
const BEGIN_MS = 50;

/**
 * Once the instances count as calm, breaks the connections of some callers, who take their streams up at other
 * instances, and lets the target crash that runs most streams.
 */
export async function runCalmResumptions(fleet: CooperativeFleet, observer: SoakObserver): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, CONTACT_MS));
    const agent = new Agent({ keepAlive: true });
    const streams = Array.from({ length: STREAMS }, (_, i) =>
        sendSoakRequest(fleet, observer, {
            requestId: `t${i}`,
            route: "stream",
            turn: i,
            agent,
            ...(i % 2 === 0 ? { breakAfter: 1 + i / 2 % MAX_BREAK_AFTER } : {}),
        }));
    await new Promise(resolve => setTimeout(resolve, BEGIN_MS));
    const engines = fleet.runningTargets.map(({ target }) => target).filter(({ service }) =>
        service === "engine"
    );
    engines.sort((a, b) => b.runningCount - a.runningCount)[0]?.kill();
    await Promise.all(streams);
    agent.destroy();
}
