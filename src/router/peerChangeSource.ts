import { Agent } from "node:http";
import type { Change } from "../core/routing/change.js";
import type { ChangeBatch } from "../core/routing/changeBatch.js";
import type { ChangePosition } from "../core/routing/changePosition.js";
import { isChange } from "../core/routing/isChange.js";
import { NO_ERA } from "../core/routing/noEra.js";
import { SourceError } from "../core/routing/sourceError.js";
import { fetchJson } from "./fetchJson.js";

interface PeerChangeSourceOptions {
    readonly port: number;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly getTimeOfDay: () => number;
}

interface FeedResponse {
    readonly changes: readonly Change[];
    readonly isWhole: boolean;
    /** Missing in responses of instances from before eras were named. */
    readonly era?: number;
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
     * Reads the changes after a position, or all current data if `after` is `undefined`.
     *
     * @throws SourceError when the peer does not respond or its response is invalid.
     */
    async read(host: string, after: ChangePosition | undefined): Promise<ChangeBatch> {
        const { port, getNow, getTimeOfDay } = this.#options;
        const sentAt = getNow();
        const sentTimeOfDay = getTimeOfDay();
        const response = await fetchJson({
            host,
            port,
            agent: this.#agent,
            path: `/changes${after ? `?after=${after.revision}&era=${after.era}` : ""}`,
            timeoutMs: TIMEOUT_MS,
        }) as Partial<FeedResponse> | null;
        if (
            !response || !Array.isArray(response.changes) || !response.changes.every(isChange)
            || !Number.isSafeInteger(response.revision) || !Number.isSafeInteger(response.era ?? NO_ERA)
            || !isDuration(response.ageMs) || !isDuration(response.waitedMs)
        ) {
            throw SourceError.create("invalid-body");
        }
        // The response was built at least `waitedMs` after the call was sent, so the age is not understated.
        const confirmationOffsetMs = response.waitedMs - response.ageMs;
        return {
            changes: response.changes,
            isWhole: response.isWhole === true,
            era: response.era ?? NO_ERA,
            revision: Number(response.revision),
            confirmedAt: sentAt + confirmationOffsetMs,
            confirmedTimeOfDay: sentTimeOfDay + confirmationOffsetMs,
        };
    }

    /** Closes all connections. */
    close(): void {
        this.#agent.destroy();
    }
}

function isDuration(value: unknown): value is number {
    return typeof value === "number" && value >= 0;
}
