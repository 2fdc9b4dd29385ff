import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import type { TargetDirectory } from "../core/routing/targetDirectory.js";
import type { TargetEntry } from "../core/routing/targetEntry.js";
import type { LogSink } from "../router/logSink.js";
import { decodeConfiguration } from "./decodeConfiguration.js";
import { decodeItems } from "./decodeItems.js";
import { decodeTarget } from "./decodeTarget.js";
import { StoreError } from "./storeError.js";
import type { StoreItem } from "./storeItem.js";

interface StoreFollowerOptions {
    readonly read: (
        path: string,
        query: Readonly<Record<string, string | number>>,
        timeoutMs: number,
    ) => Promise<unknown>;
    readonly directory: TargetDirectory;
    readonly log: LogSink;
    readonly getNow: () => number;
    readonly getTimeOfDay: () => number;
    readonly getRandom: () => number;
    readonly wait: (ms: number) => Promise<void>;
    readonly onConfiguration: (configuration: RouterConfiguration) => void;
    readonly onTargets: () => void;
    readonly onEvacuated: (dataCentres: ReadonlySet<string>) => void;
    readonly onConfirmed: (at: number, timeOfDay: number) => void;
}

interface Page {
    readonly items: readonly StoreItem[];
    readonly at: number;
    readonly hasMore: boolean;
}

/** All keys, so that one waiting call covers the configuration, the evacuations and the targets. */
const ALL_KEYS = "";
const CONFIGURATION_KEY = "op/config";
const EVACUATION_PREFIX = "op/evacuate/";
const TARGET_PREFIX = "servers/";
/** A third of the shortest revocation bound (5 s), so that one failed call leaves time for another. */
const WATCH_MS = 1500;
/** The store answers within 4 ms; on slow days within some hundred. */
const CALL_TIMEOUT_MS = 1200;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 400;
const GONE = 410;

/** Follows the platform's store: reads everything once, then waits for changes. */
export class StoreFollower {
    readonly #options: StoreFollowerOptions;
    readonly #evacuated = new Set<string>();
    /** Revision up to which everything is known. */
    #revision: number | undefined;
    #isLost = false;
    #isStopped = false;

    private constructor(options: StoreFollowerOptions) {
        this.#options = options;
    }

    /** Creates a follower; `run` starts it. */
    static create(options: StoreFollowerOptions): StoreFollower {
        return new StoreFollower(options);
    }

    /** Follows the store until `stop` is called. */
    async run(): Promise<void> {
        const { directory, log, getNow, getRandom, wait } = this.#options;
        while (!this.#isStopped) {
            try {
                await (this.#revision === undefined ? this.#readAll() : this.#watch(this.#revision));
                if (this.#isLost) {
                    this.#isLost = false;
                    log.write("store-regained", { revision: this.#revision });
                }
            }
            catch (error) {
                if (!(error instanceof StoreError)) {
                    throw error;
                }
                if (error.status === GONE) {
                    log.write("store-history-lost", { revision: this.#revision });
                    this.#revision = undefined;
                    continue;
                }
                directory.setUnreachable(getNow());
                if (!this.#isLost) {
                    this.#isLost = true;
                    log.write("store-lost", { code: error.code, status: error.status });
                }
                await wait(MIN_BACKOFF_MS + getRandom() * (MAX_BACKOFF_MS - MIN_BACKOFF_MS));
            }
        }
    }

    /** Ends `run` after the call in progress. */
    stop(): void {
        this.#isStopped = true;
    }

    async #readAll(): Promise<void> {
        const { getNow, getTimeOfDay, onConfirmed, directory, onTargets, onEvacuated } = this.#options;
        const startedAt = getNow();
        const startedAtTimeOfDay = getTimeOfDay();
        const items: StoreItem[] = [];
        let revision: number | undefined;
        let page: Page;
        do {
            page = await this.#call("/kv-range", {
                pathPrefix: ALL_KEYS,
                ...(items.length > 0 ? { after: items.at(-1)?.key ?? "" } : {}),
            }, CALL_TIMEOUT_MS);
            // Pages are not a snapshot, so changes are followed from the first one.
            revision ??= page.at;
            items.push(...page.items);
        }
        while (page.hasMore && page.items.length > 0);
        directory.setReachable(getNow());
        items.filter(item => item.key === CONFIGURATION_KEY).forEach(item => this.#applyConfiguration(item));
        this.#evacuated.clear();
        items.filter(item => item.key.startsWith(EVACUATION_PREFIX))
            .forEach(item => this.#evacuated.add(item.key.slice(EVACUATION_PREFIX.length)));
        directory.replaceAll(
            items.filter(item => item.key.startsWith(TARGET_PREFIX)).flatMap(item =>
                this.#decodeTarget(item) ?? []
            ),
            getNow(),
        );
        onEvacuated(new Set(this.#evacuated));
        onTargets();
        onConfirmed(startedAt, startedAtTimeOfDay);
        this.#revision = revision;
    }

    async #watch(after: number): Promise<void> {
        const { getNow, getTimeOfDay, onConfirmed, directory, onTargets, onEvacuated } = this.#options;
        const startedAt = getNow();
        const startedAtTimeOfDay = getTimeOfDay();
        const page = await this.#call(
            "/kv-watch",
            { pathPrefix: ALL_KEYS, after, waitMs: WATCH_MS },
            WATCH_MS + CALL_TIMEOUT_MS,
        );
        directory.setReachable(getNow());
        let areTargetsChanged = false;
        let areEvacuationsChanged = false;
        for (const item of page.items) {
            if (item.key === CONFIGURATION_KEY) {
                this.#applyConfiguration(item);
            }
            else if (item.key.startsWith(EVACUATION_PREFIX)) {
                areEvacuationsChanged = true;
                this.#applyEvacuation(item);
            }
            else if (item.key.startsWith(TARGET_PREFIX)) {
                areTargetsChanged = true;
                this.#applyTarget(item);
            }
        }
        if (areEvacuationsChanged) {
            onEvacuated(new Set(this.#evacuated));
        }
        if (areTargetsChanged) {
            onTargets();
        }
        onConfirmed(startedAt, startedAtTimeOfDay);
        this.#revision = Math.max(after, page.at);
    }

    async #call(
        path: string,
        query: Readonly<Record<string, string | number>>,
        timeoutMs: number,
    ): Promise<Page> {
        const body = await this.#options.read(path, query, timeoutMs) as
            | Readonly<Record<string, unknown>>
            | null;
        const at = body?.["at"];
        if (!body || typeof at !== "number") {
            throw StoreError.create("invalid-body");
        }
        return { items: decodeItems(body["items"] ?? body["events"]), at, hasMore: body["hasMore"] === true };
    }

    #applyConfiguration(item: StoreItem): void {
        if (!item.value) {
            return;
        }
        try {
            this.#options.onConfiguration(decodeConfiguration(item.value));
        }
        catch (error) {
            this.#options.log.write("configuration-invalid", {
                revision: item.revision,
                reason: String(error),
            });
        }
    }

    #applyEvacuation(item: StoreItem): void {
        const dataCentre = item.key.slice(EVACUATION_PREFIX.length);
        if (item.value) {
            this.#evacuated.add(dataCentre);
        }
        else {
            this.#evacuated.delete(dataCentre);
        }
    }

    #applyTarget(item: StoreItem): void {
        const { directory, log, getNow } = this.#options;
        const id = item.key.slice(TARGET_PREFIX.length);
        const target = item.value ? this.#decodeTarget(item) : undefined;
        log.write("target-changed", {
            target: id,
            state: target ? (target.isDraining ? "draining" : "ready") : "removed",
            revision: item.revision,
        });
        if (target) {
            directory.put(target);
        }
        else {
            directory.remove(id, getNow());
        }
    }

    #decodeTarget(item: StoreItem): TargetEntry | undefined {
        const id = item.key.slice(TARGET_PREFIX.length);
        const target = item.value ? decodeTarget(id, item.value, this.#options.getNow()) : undefined;
        if (!target) {
            this.#options.log.write("target-invalid", { target: id, revision: item.revision });
        }
        return target;
    }
}
