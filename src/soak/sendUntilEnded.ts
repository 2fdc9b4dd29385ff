import { Agent } from "node:http";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import { pickItem } from "./pickItem.js";
import { sendSoakRequest } from "./sendSoakRequest.js";
import type { SoakObserver } from "./soakObserver.js";

const KEPT_CONNECTIONS = 6;
/** Callers that open a connection for each request. */
const OPENING_CALLERS = 8;
const MAX_PAUSE_MS = 8;
const MAX_NUMBER = 2 ** 31;

/** Sends requests to an instance, on kept connections and on new ones, until its present process has ended. */
export async function sendUntilEnded(
    fleet: CooperativeFleet,
    observer: SoakObserver,
    instance: CooperativeFleet["instances"][number],
    random: () => number,
): Promise<void> {
    const { process } = instance;
    const name = `ended-${Math.floor(random() * MAX_NUMBER)}`;
    const send = async (caller: number, keepAlive: boolean): Promise<void> => {
        const agent = new Agent({ keepAlive, maxSockets: 1 });
        for (let i = 0; process.running; i += 1) {
            await sendSoakRequest(fleet, observer, {
                requestId: `${name}-${caller}-${i}`,
                route: pickItem(["safe", "unsafe", "once"] as const, random),
                turn: fleet.instances.indexOf(instance),
                agent,
            });
            await new Promise(resolve => setTimeout(resolve, random() * MAX_PAUSE_MS));
        }
        agent.destroy();
    };
    await Promise.all(
        Array.from({ length: KEPT_CONNECTIONS + OPENING_CALLERS }, (_, i) => send(i, i < KEPT_CONNECTIONS)),
    );
}
