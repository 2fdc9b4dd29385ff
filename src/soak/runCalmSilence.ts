import { Agent } from "node:http";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import { sendSoakRequest } from "./sendSoakRequest.js";
import type { SoakObserver } from "./soakObserver.js";

const STREAMS = 24;
/** Time in which the successors of crashed targets start. */
const RESTART_MS = 2000;
/** Time in which instances hear that targets leave. */
const CHANGE_MS = 1000;
const SILENCE_MS = 1300;

/** Lets all targets of streams but one leave, and that one hold back all events for a time that callers wait for. */
export async function runCalmSilence(fleet: CooperativeFleet, observer: SoakObserver): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, RESTART_MS));
    const [last, ...others] = fleet.runningTargets.filter(({ service, registration }) =>
        service === "engine" && registration.state === "ready"
    );
    others.forEach(entry => fleet.setRegistration(entry, "draining"));
    await new Promise(resolve => setTimeout(resolve, CHANGE_MS));
    last?.target.pauseResponses(performance.now() + SILENCE_MS, "events");
    const agent = new Agent({ keepAlive: true });
    await Promise.all(
        Array.from(
            { length: STREAMS },
            (_, i) =>
                sendSoakRequest(fleet, observer, { requestId: `u${i}`, route: "stream", turn: i, agent }),
        ),
    );
    others.forEach(entry => fleet.setRegistration(entry, "ready"));
    agent.destroy();
}
