import { Agent } from "node:http";
import type { Change } from "../core/routing/change.js";
import type { ChangeBatch } from "../core/routing/changeBatch.js";
import { SourceError } from "../core/routing/sourceError.js";
import { fetchJson } from "./fetchJson.js";

interface PeerChangeSourceOptions {
    readonly port: number;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly getTimeOfDay: () => number;
}

interface FeedAnswer {
    readonly changes: readonly Change[];
    readonly isWhole: boolean;
    readonly revision: number;
    readonly ageMs: number;
    /** Time in milliseconds for which the peer held the long poll open. */
    readonly waitedMs: number;
}

/** The feed responds within 0.7 s; the rest allows for a busy instance. */
const TIMEOUT_MS = 1500;

/** Reads the platform's changes from a peer in the same data centre. */
export class PeerChangeSource {
    readonly #options: PeerChangeSourceOptions;
    readonly #agent = new Agent({ keepAlive: true, maxSockets: 2 });

    private constructor(options: PeerChangeSourceOptions) {
        this.#options = options;
    }

    /** Creates a source without connections. */
    static create(options: PeerChangeSourceOptions): PeerChangeSource {
        return new PeerChangeSource(options);
    }

    /**
     * Reads the changes after a revision, or all current data if `after` is `undefined`.
     *
     * @throws SourceError when the peer does not respond or its response is invalid.
     */
    async read(host: string, after: number | undefined): Promise<ChangeBatch> {
        const { port, getNow, getTimeOfDay } = this.#options;
        const sentAt = getNow();
        const sentTimeOfDay = getTimeOfDay();
        const answer = await fetchJson({
            host,
            port,
            agent: this.#agent,
            path: `/changes${after === undefined ? "" : `?after=${after}`}`,
            timeoutMs: TIMEOUT_MS,
        }) as Partial<FeedAnswer> | null;
        if (
            !answer || !Array.isArray(answer.changes) || typeof answer.revision !== "number"
            || typeof answer.ageMs !== "number" || typeof answer.waitedMs !== "number"
        ) {
            throw SourceError.create("invalid-body");
        }
        // The response was built at least `waitedMs` after the call was sent, so the age is not understated.
        const sinceSentMs = answer.waitedMs - answer.ageMs;
        return {
            changes: answer.changes as readonly Change[],
            isWhole: answer.isWhole === true,
            revision: answer.revision,
            confirmedAt: sentAt + sinceSentMs,
            confirmedTimeOfDay: sentTimeOfDay + sinceSentMs,
        };
    }

    /** Closes all connections. */
    close(): void {
        this.#agent.destroy();
    }
}
