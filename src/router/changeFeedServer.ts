import { createServer, type Server, type ServerResponse } from "node:http";
import type { ChangeLog } from "../core/routing/changeLog.js";
import type { LogSink } from "./logSink.js";

interface ChangeFeedServerOptions {
    readonly host: string;
    readonly port: number;
    readonly changes: ChangeLog;
    readonly log: LogSink;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

interface WaitingReader {
    readonly after: number;
    /** Monotonic time in milliseconds at which the call was received. */
    readonly receivedAt: number;
    readonly response: ServerResponse;
    readonly deadline: number;
}

/** A long poll without a change ends after this time. */
const MAX_WAIT_MS = 700;
const POLL_MS = 100;
const SERVICE_UNAVAILABLE = 503;

/** Serves the changes that this instance has read from the platform to peers in its data centre, by long polling. */
export class ChangeFeedServer {
    readonly #options: ChangeFeedServerOptions;
    readonly #server: Server;
    #waiting: readonly WaitingReader[] = [];
    readonly #timer: NodeJS.Timeout;

    private constructor(options: ChangeFeedServerOptions) {
        this.#options = options;
        this.#server = createServer((incoming, response) => {
            const after = new URL(incoming.url ?? "/", "http://peer").searchParams.get("after");
            this.#serve(after === null ? undefined : Number(after), response);
        });
        this.#server.on("error", error => options.log.write("feed-failed", { reason: error.message }));
        this.#timer = setInterval(() => this.flush(), POLL_MS);
    }

    /** Starts the server. */
    static async create(options: ChangeFeedServerOptions): Promise<ChangeFeedServer> {
        const feed = new ChangeFeedServer(options);
        await new Promise<void>(resolve => feed.#server.listen(options.port, options.host, resolve));
        return feed;
    }

    /** Responds to the long polls for which there are changes, and to those whose deadline has passed. */
    flush(): void {
        if (this.#waiting.length === 0) {
            return;
        }
        const now = this.#options.getNow();
        const revision = this.#options.changes.revision ?? 0;
        const isDue = (reader: WaitingReader): boolean => reader.after !== revision || reader.deadline <= now;
        const due = this.#waiting.filter(isDue);
        this.#waiting = this.#waiting.filter(reader => !isDue(reader));
        due.forEach(reader => this.#send(reader.after, reader.receivedAt, reader.response));
    }

    /** Closes the server and its connections. */
    close(): void {
        clearInterval(this.#timer);
        this.#server.close();
        this.#server.closeAllConnections();
    }

    #serve(after: number | undefined, response: ServerResponse): void {
        const receivedAt = this.#options.getNow();
        if (after === undefined || after !== this.#options.changes.revision) {
            this.#send(after, receivedAt, response);
            return;
        }
        this.#waiting = [...this.#waiting, {
            after,
            receivedAt,
            response,
            deadline: receivedAt + MAX_WAIT_MS,
        }];
    }

    #send(after: number | undefined, receivedAt: number, response: ServerResponse): void {
        const batch = this.#options.changes.listSince(after);
        if (!batch) {
            response.writeHead(SERVICE_UNAVAILABLE, { "Content-Length": "0" }).end();
            return;
        }
        const { confirmedAt, confirmedTimeOfDay, ...content } = batch;
        // Clocks of two instances cannot be compared, so the age is sent. The monotonic clock stands still while a
        // machine is suspended, so the greater of both ages counts.
        const now = this.#options.getNow();
        const ageMs = Math.max(now - confirmedAt, Date.now() - confirmedTimeOfDay);
        const body = JSON.stringify({ ...content, ageMs, waitedMs: now - receivedAt });
        response.writeHead(200, {
            "Content-Type": "application/json",
            "Content-Length": String(Buffer.byteLength(body)),
        }).end(body);
    }
}
