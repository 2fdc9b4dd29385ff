import { once } from "node:events";
import { connect, type Socket } from "node:net";
import type { CooperativeFleet } from "../../../src/testing/platform/cooperativeFleet.js";

interface CrowdRequest {
    readonly path: string;
    readonly bodyBytes: number;
    /** Bytes of the body that are sent. @default all */
    readonly sentBytes?: number;
    /** Callers that send at once, and the pause in milliseconds until the next ones do. @default all at once */
    readonly waveCallers?: number;
    readonly waveMs?: number;
    readonly patienceMs: number;
}

interface CrowdCaller {
    socket: Socket;
    /** First bytes of the response. */
    received: string;
    isClosed: boolean;
    /** True if the router has announced that it closes the connection, so that the next request needs another one. */
    isLast: boolean;
}

/** Connections that are opened at once: no more than a short accept queue holds. */
const CONNECT_CALLERS = 32;
/** Time for the router to accept these when nothing shows that it has. */
const ACCEPT_MS = 20;
const HEAD_BYTES = 64;

/** Callers that send a request each, on connections that the router has accepted before unless it has announced their end. */
export class CallerCrowd {
    readonly #fleet: CooperativeFleet;
    readonly #callers: CrowdCaller[] = [];

    private constructor(fleet: CooperativeFleet) {
        this.#fleet = fleet;
    }

    /** Opens the connections of callers that read nothing until `resumeReading`. */
    static async createUnreading(fleet: CooperativeFleet, callers: number): Promise<CallerCrowd> {
        const crowd = new CallerCrowd(fleet);
        for (let i = 0; i < callers; i += CONNECT_CALLERS) {
            await Promise.all(Array.from({ length: Math.min(CONNECT_CALLERS, callers - i) }, async () => {
                const { socket } = crowd.#add();
                socket.pause();
                await once(socket, "connect");
            }));
            await new Promise(resolve => setTimeout(resolve, ACCEPT_MS));
        }
        return crowd;
    }

    /** Opens the connections of the callers; each has had one response on its own. */
    static async create(fleet: CooperativeFleet, callers: number): Promise<CallerCrowd> {
        const crowd = new CallerCrowd(fleet);
        for (let i = 0; i < callers; i += CONNECT_CALLERS) {
            await Promise.all(Array.from({ length: Math.min(CONNECT_CALLERS, callers - i) }, async () => {
                const caller = crowd.#add();
                caller.socket.write("GET /none HTTP/1.1\r\nHost: none\r\nRequest-Id: none\r\n\r\n");
                const [data] = await once(caller.socket, "data") as [Buffer];
                caller.isLast = /^connection: close\r$/imu.test(data.toString("latin1"));
            }));
        }
        return crowd;
    }

    /** Sends a request of each caller; resolves when the last one has been sent. */
    async send(request: CrowdRequest): Promise<void> {
        const { bodyBytes, sentBytes = bodyBytes, waveCallers = this.#callers.length, waveMs = 0 } = request;
        const body = Buffer.alloc(sentBytes, "x");
        for (const [i, caller] of this.#callers.entries()) {
            if (i > 0 && i % waveCallers === 0) {
                await new Promise(resolve => setTimeout(resolve, waveMs));
            }
            if (caller.isLast) {
                this.#renew(caller);
            }
            sendRequest(caller, request, body);
        }
    }

    /** Reads what has arrived, and what follows. */
    resumeReading(): void {
        this.#callers.forEach(({ socket }) => socket.resume());
    }

    /** Number of callers whose connection has neither brought a status nor ended. */
    get waiting(): number {
        return this.#callers.filter(({ received, isClosed }) => !isClosed && received === "").length;
    }

    /** Number of callers by status; 0 for those that have got none. */
    countStatuses(): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        for (const { received } of this.#callers) {
            const status = received.split(" ")[1] ?? "0";
            counts[status] = (counts[status] ?? 0) + 1;
        }
        return counts;
    }

    /** Closes all connections. */
    close(): void {
        this.#callers.forEach(({ socket }) => socket.destroy());
    }

    #add(): CrowdCaller {
        const caller: CrowdCaller = { socket: this.#connect(), received: "", isClosed: false, isLast: false };
        watchClose(caller);
        this.#callers.push(caller);
        return caller;
    }

    #renew(caller: CrowdCaller): void {
        Object.assign(caller, { socket: this.#connect(), isClosed: false, isLast: false });
        watchClose(caller);
    }

    #connect(): Socket {
        const [instance] = this.#fleet.instances;
        const { hostname, port } = new URL(instance ? this.#fleet.getUrls(instance).callers : "");
        return connect(Number(port), hostname);
    }
}

function watchClose(caller: CrowdCaller): void {
    const { socket } = caller;
    socket.on("error", () => undefined);
    socket.on("close", () => {
        caller.isClosed ||= caller.socket === socket;
    });
}

let nextRequest = 0;

function sendRequest(
    caller: CrowdCaller,
    { path, bodyBytes, patienceMs }: CrowdRequest,
    body: Buffer,
): void {
    const { socket } = caller;
    nextRequest += 1;
    caller.received = "";
    socket.removeAllListeners("data");
    socket.on("data", data => {
        if (caller.received === "") {
            caller.received = data.toString("latin1", 0, HEAD_BYTES);
        }
    });
    socket.write(
        `POST ${path} HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd-${nextRequest}\r\n`
            + `Deadline-Ms: ${patienceMs}\r\nToken-Usage: 100,20\r\n`
            + `Prompt-Prefix: a:50,own-${nextRequest}:50\r\nContent-Length: ${bodyBytes}\r\n\r\n`,
    );
    socket.write(body);
}
