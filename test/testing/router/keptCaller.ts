import { Agent } from "node:http";
import type { CooperativeFleet } from "../../../src/testing/platform/cooperativeFleet.js";
import { sendCaller } from "../../../src/testing/sendCaller.js";

/** Caller with one connection to the first instance of a fleet, which it keeps open between its requests. */
export class KeptCaller {
    readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });
    readonly #url: string;

    private constructor(url: string) {
        this.#url = url;
    }

    /** Connects by sending a first request. */
    static async create(fleet: CooperativeFleet, path: string): Promise<KeptCaller> {
        const [instance] = fleet.instances;
        if (!instance) {
            throw new Error("The fleet has no instance.");
        }
        const caller = new KeptCaller(fleet.getUrls(instance).callers);
        const { status } = await caller.send(path, "connect");
        if (status !== 200) {
            throw new Error(`The first request of a caller was answered with status ${status}.`);
        }
        return caller;
    }

    /** Sends a request without a key on the connection. */
    send(path: string, requestId: string, patienceMs = 20_000): ReturnType<typeof sendCaller> {
        return sendCaller(this.#url + path, {
            method: "POST",
            headers: { "Host": "h", "Request-Id": requestId, "Deadline-Ms": String(patienceMs) },
            body: "question",
            agent: this.#agent,
        });
    }

    /** Closes the connection. */
    close(): void {
        this.#agent.destroy();
    }
}
