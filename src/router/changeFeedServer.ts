import { createServer, type Server, type ServerResponse } from "node:http";
import type { ChangeLog } from "../core/routing/changeLog.js";
import type { ChangePosition } from "../core/routing/changePosition.js";
import { comparePositions } from "../core/routing/comparePositions.js";
import { computeServerLimits } from "../core/routing/computeServerLimits.js";
import type { EndPlan } from "../core/routing/endPlan.js";
import { NO_ERA } from "../core/routing/noEra.js";
import { planEnd } from "../core/routing/planEnd.js";
import { abortResponse } from "../shared/abortResponse.js";
import { limitServer } from "../shared/limitServer.js";
import type { PortBinder } from "../shared/portBinder.js";
import { ServerConnections } from "../shared/serverConnections.js";
import { createGuardedListener } from "./createGuardedListener.js";
import type { ErrorBoundary } from "./errorBoundary.js";

interface ChangeFeedServerOptions {
    readonly host: string;
    readonly port: number;
    readonly ports: Pick<PortBinder, "openServer">;
    /** What the process has. */
    readonly settings: Parameters<typeof computeServerLimits>[0];
    readonly changeLog: ChangeLog;
    readonly errorBoundary: Pick<ErrorBoundary, "run">;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

interface LongPoll {
    readonly after: ChangePosition;
    /** Monotonic time in milliseconds at which the call was received. */
    readonly receivedAt: number;
    readonly response: ServerResponse;
    readonly deadline: number;
}

/** A long poll without a change ends after this time. */
const LONG_POLL_MS = 700;
const FLUSH_INTERVAL_MS = 100;
const SERVICE_UNAVAILABLE = 503;

/** Serves the changes that this instance has read from the platform to peers in its data centre, by long polling. */
export class ChangeFeedServer {
    readonly #options: ChangeFeedServerOptions;
    readonly #server: Server;
    readonly #connections: ServerConnections;
    #longPolls: readonly LongPoll[] = [];
    #isClosing = false;
    readonly #timer: NodeJS.Timeout;

    private constructor(options: ChangeFeedServerOptions) {
        this.#options = options;
        const { errorBoundary } = options;
        const serve = ({ searchParams }: URL, response: ServerResponse): void => {
            const revision = searchParams.get("after");
            const era = Number(searchParams.get("era") ?? NO_ERA);
            this.#serve(revision === null ? undefined : { era, revision: Number(revision) }, response);
        };
        this.#server = createServer(createGuardedListener(errorBoundary, "change-feed", serve));
        this.#connections = ServerConnections.create(
            this.#server,
            limitServer(this.#server, computeServerLimits(options.settings).peers),
        );
        this.#timer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS);
    }

    /**
     * Starts the server.
     *
     * @throws PortError when the address cannot be bound.
     */
    static async create(options: ChangeFeedServerOptions): Promise<ChangeFeedServer> {
        const feed = new ChangeFeedServer(options);
        const { host, port, ports } = options;
        try {
            await ports.openServer("change-feed", feed.#server, { host, port });
        }
        catch (error) {
            const now = options.getNow();
            await feed.close(planEnd(now, now));
            throw error;
        }
        return feed;
    }

    /** Responds to the long polls for which there are changes, and to those whose deadline has passed. */
    flush(): void {
        if (this.#longPolls.length === 0) {
            return;
        }
        const now = this.#options.getNow();
        const { position } = this.#options.changeLog;
        const isDue = (poll: LongPoll): boolean =>
            !position || comparePositions(poll.after, position) !== 0 || poll.deadline <= now;
        const due = this.#longPolls.filter(isDue);
        this.#longPolls = this.#longPolls.filter(poll => !isDue(poll));
        due.forEach(poll => this.#endPoll(poll));
    }

    /** Responds to all calls and closes the connections. */
    async close(plan: EndPlan): Promise<void> {
        clearInterval(this.#timer);
        this.#isClosing = true;
        this.#longPolls.forEach(poll => this.#endPoll(poll));
        this.#longPolls = [];
        await this.#connections.close(plan);
    }

    #serve(after: ChangePosition | undefined, response: ServerResponse): void {
        const receivedAt = this.#options.getNow();
        const { position } = this.#options.changeLog;
        if (this.#isClosing || !after || !position || comparePositions(after, position) !== 0) {
            this.#send(after, receivedAt, response);
            return;
        }
        this.#longPolls = [...this.#longPolls, {
            after,
            receivedAt,
            response,
            deadline: receivedAt + LONG_POLL_MS,
        }];
    }

    #endPoll({ after, receivedAt, response }: LongPoll): void {
        this.#options.errorBoundary.run(
            "change-feed",
            () => this.#send(after, receivedAt, response),
            () => abortResponse(response),
        );
    }

    #send(after: ChangePosition | undefined, receivedAt: number, response: ServerResponse): void {
        const batch = this.#options.changeLog.listSince(after);
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
