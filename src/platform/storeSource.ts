import { Agent } from "node:http";
import type { Change } from "../core/routing/change.js";
import type { ChangeBatch } from "../core/routing/changeBatch.js";
import type { ChangePosition } from "../core/routing/changePosition.js";
import { comparePositions } from "../core/routing/comparePositions.js";
import { NO_ERA } from "../core/routing/noEra.js";
import { SourceError } from "../core/routing/sourceError.js";
import { fetchJson } from "../router/fetchJson.js";
import type { RouterSettings } from "../router/routerSettings.js";
import { decodeItems } from "./decodeItems.js";

interface StoreSourceOptions {
    readonly address: RouterSettings["callerAddress"];
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly getTimeOfDay: () => number;
}

interface Page extends ChangePosition {
    readonly changes: readonly Change[];
    /** Key of the last entry, after which the next page begins; `undefined` if the page has no entry with a key. */
    readonly lastKey: string | undefined;
    readonly hasMore: boolean;
}

/** Prefix of all keys, so that one long poll covers the configuration, the evacuations and the targets. */
const ALL_KEYS = "";
/** A quarter of the shortest revocation bound (5 s), so that a failed long poll leaves time for two more. */
const WATCH_MS = 1200;
/** The store normally responds within 4 ms, at times only within a few hundred. */
const TIMEOUT_MS = 1200;
/** Timeout of an urgent call. A lost attempt to connect is repeated only after a second, so a new call is faster. */
const URGENT_TIMEOUT_MS = 800;
const RANGE_PATH = "/kv-range";
const WATCH_PATH = "/kv-watch";
const GONE = 410;
const TOO_LONG_CODES: ReadonlySet<string> = new Set(["body-too-long", "too-many-values"]);
const ERA_PATTERN = /^\d{1,15}$/;

/** Reads changes from the platform's store over HTTP. */
export class StoreSource {
    readonly #options: StoreSourceOptions;
    readonly #agent = new Agent({ keepAlive: true, maxSockets: 4 });
    #namesEra = false;

    private constructor(options: StoreSourceOptions) {
        this.#options = options;
    }

    /** Creates a source without connections. */
    static create(options: StoreSourceOptions): StoreSource {
        return new StoreSource(options);
    }

    /**
     * Waits for changes after a position, or reads everything without one; an urgent call does not wait and fails early.
     *
     * @throws SourceError when the store does not respond or does not name its era as before; `history-lost` when it has
     * dropped the changes since then or was restored.
     */
    async read(after: ChangePosition | undefined, isUrgent = false): Promise<ChangeBatch> {
        const confirmedAt = this.#options.getNow();
        const confirmedTimeOfDay = this.#options.getTimeOfDay();
        if (after === undefined) {
            const timeoutMs = isUrgent ? URGENT_TIMEOUT_MS : TIMEOUT_MS;
            return { ...await this.#readAll(timeoutMs), isWhole: true, confirmedAt, confirmedTimeOfDay };
        }
        const query = new URLSearchParams({
            pathPrefix: ALL_KEYS,
            after: String(after.revision),
            waitMs: String(isUrgent ? 0 : WATCH_MS),
        });
        const timeoutMs = isUrgent ? URGENT_TIMEOUT_MS : WATCH_MS + TIMEOUT_MS;
        const page = await this.#readPage(WATCH_PATH, query, timeoutMs);
        if (comparePositions(page, after) < 0 && page.era !== NO_ERA) {
            throw SourceError.create("position-outdated");
        }
        if (page.era !== after.era || page.revision < after.revision) {
            throw SourceError.create("history-lost");
        }
        return {
            changes: page.changes,
            isWhole: false,
            era: page.era,
            revision: page.revision,
            confirmedAt,
            confirmedTimeOfDay,
        };
    }

    /** Closes all connections. */
    close(): void {
        this.#agent.destroy();
    }

    async #readAll(timeoutMs: number): Promise<Pick<ChangeBatch, "changes" | "era" | "revision">> {
        const changes: Change[] = [];
        let first: Page | undefined;
        let page: Page | undefined;
        do {
            const after: string | undefined = page?.lastKey;
            const query = new URLSearchParams({
                pathPrefix: ALL_KEYS,
                ...(after === undefined ? {} : { after }),
            });
            page = await this.#readPage(RANGE_PATH, query, timeoutMs);
            if (page.hasMore && (page.lastKey === undefined || page.lastKey === after)) {
                throw SourceError.create("invalid-body: no progress");
            }
            // Pages do not form a snapshot, so changes are followed from the revision of the first page.
            first ??= page;
            if (page.era !== first.era) {
                throw SourceError.create("history-lost");
            }
            changes.push(...page.changes);
        }
        while (page.hasMore);
        return { changes, era: first.era, revision: first.revision };
    }

    async #readPage(path: string, query: URLSearchParams, timeoutMs: number): Promise<Page> {
        const { body, era } = await this.#fetch(`${path}?${query.toString()}`, timeoutMs);
        const { at, items, events, hasMore } = (body ?? {}) as Readonly<Record<string, unknown>>;
        // Only a watch without a change may have no list: a page without items would drop all that is known.
        const list = path === RANGE_PATH ? items : events ?? [];
        if (!Number.isSafeInteger(at) || Number(at) < 0 || !Array.isArray(list)) {
            throw SourceError.create("invalid-body");
        }
        return {
            changes: decodeItems(list),
            lastKey: findLastKey(list),
            era,
            revision: Number(at),
            hasMore: hasMore === true,
        };
    }

    async #fetch(
        path: string,
        timeoutMs: number,
    ): Promise<{ readonly body: unknown; readonly era: number; }> {
        let header: string | string[] | undefined;
        try {
            const body = await fetchJson({
                ...this.#options.address,
                path,
                agent: this.#agent,
                timeoutMs,
                onHeaders: headers => header = headers["store-era"],
            });
            return { body, era: this.#readEra(header) };
        }
        catch (error) {
            // Events have no pages, so that a watch whose answer is too long would be repeated without end.
            const isLost = error instanceof SourceError
                && (error.status === GONE || (path.startsWith(WATCH_PATH) && TOO_LONG_CODES.has(error.code)));
            if (isLost) {
                throw SourceError.create("history-lost", error.status);
            }
            throw error;
        }
    }

    /** A store that has named its era once does so in all responses; others come from something else. */
    #readEra(header: string | string[] | undefined): number {
        if (header === undefined) {
            if (this.#namesEra) {
                throw SourceError.create("era-missing");
            }
            return NO_ERA;
        }
        if (typeof header !== "string" || !ERA_PATTERN.test(header)) {
            throw SourceError.create("era-unreadable");
        }
        this.#namesEra = true;
        return Number(header);
    }
}

function findLastKey(list: readonly unknown[]): string | undefined {
    const keys = list.map(entry => (entry as { readonly key?: unknown; } | null)?.key);
    return keys.findLast(key => typeof key === "string");
}
