import { Agent } from "node:http";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import { sendSoakRequest } from "./sendSoakRequest.js";
import type { SoakObserver } from "./soakObserver.js";

const STREAMS = 24;
/** Time in which instances hear that targets are back. */
const CHANGE_MS = 1000;
/** Pause before each event, so that the streams are open when the instances are killed. */
const EVENT_MS = 50;
/** Time in which streams begin. */
const BEGIN_MS = 250;
/** Time for which all instances stay away. */
const AWAY_MS = 500;
/** Longer than the time after a start from which an instance must serve as before. */
const RECOVERY_MS = 6000;
const CALLER_TIMEOUT_MS = 9000;

/**
 * Kills all instances at once while streams are open, and at least two targets of each version stay as they are. Callers
 * take the streams up once the instances have run again for a while; new streams then begin, too.
 */
export async function runCalmRestart(fleet: CooperativeFleet, observer: SoakObserver): Promise<void> {
    observer.startPhase("lost-after-restart");
    const versions = fleet.runningTargets.filter(({ service }) => service === "engine").map(({ target }) =>
        target.version
    );
    for (const version of versions.filter(other => versions.indexOf(other) === versions.lastIndexOf(other))) {
        await fleet.addTarget("engine", version);
    }
    await new Promise(resolve => setTimeout(resolve, CHANGE_MS));
    const targets = fleet.runningTargets.map(({ target }) => target);
    targets.forEach(target => target.setPace({ headMs: 0, eventMs: EVENT_MS }));
    const agent = new Agent({ keepAlive: true });
    const streams = Array.from({ length: STREAMS }, (_, i) =>
        sendSoakRequest(fleet, observer, {
            requestId: `v${i}`,
            route: "stream",
            turn: i,
            agent,
            timeoutMs: CALLER_TIMEOUT_MS,
            retryDelayMs: AWAY_MS + RECOVERY_MS,
        }));
    await new Promise(resolve => setTimeout(resolve, BEGIN_MS));
    await fleet.killInstances(fleet.instances);
    await new Promise(resolve => setTimeout(resolve, AWAY_MS));
    await Promise.all(fleet.instances.map(instance => fleet.ensureInstance(instance)));
    targets.forEach(target => target.setPace());
    await Promise.all(streams);
    await Promise.all(
        Array.from(
            { length: STREAMS },
            (_, i) =>
                sendSoakRequest(fleet, observer, { requestId: `w${i}`, route: "stream", turn: i, agent }),
        ),
    );
    agent.destroy();
}
