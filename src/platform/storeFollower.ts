import type { Change } from "../core/routing/change.js";
import type { ChangeBatch } from "../core/routing/changeBatch.js";
import type { ChangeSource } from "../core/routing/changeSource.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import { SourceError } from "../core/routing/sourceError.js";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";
import type { TargetDirectory } from "../core/routing/targetDirectory.js";
import type { LogSink } from "../router/logSink.js";
import { decodeConfiguration } from "./decodeConfiguration.js";
import { decodeTarget } from "./decodeTarget.js";

interface StoreFollowerOptions {
    readonly source: ChangeSource;
    readonly targetDirectory: TargetDirectory;
    readonly log: LogSink;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Uniform in [0, 1). */
    readonly getRandom: () => number;
    readonly wait: (ms: number) => Promise<void>;
    readonly onConfiguration: (configuration: RouterConfiguration) => void;
    readonly onTargets: () => void;
    readonly onEvacuated: (dataCentres: ReadonlySet<string>) => void;
    readonly onConfirmed: (at: number, timeOfDay: number) => void;
}

const CONFIGURATION_KEY = "op/config";
const EVACUATION_PREFIX = "op/evacuate/";
const TARGET_PREFIX = "servers/";
/** Failed calls are billed too. */
const MIN_BACKOFF_MS = 100;
/** With the timeout of an urgent call, bounds the time until the end of an outage is noticed. */
const MAX_BACKOFF_MS = 500;
/** Calls are billed, so changes in quick succession are read together; the shortest bound for a change is 2.5 s. */
const MIN_INTERVAL_MS = 600;

/** Follows the platform's store and notifies the router of changes. */
export class StoreFollower {
    readonly #options: StoreFollowerOptions;
    readonly #evacuated = new Set<string>();
    /** Revision up to which all changes are applied; `undefined` if everything has to be read. */
    #revision: number | undefined;
    #failures = 0;
    /** Monotonic time in milliseconds of the first failure of the current outage. */
    #lostAt = 0;
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
        const { source, getNow, wait } = this.#options;
        while (!this.#isStopped) {
            const startedAt = getNow();
            try {
                this.#apply(await source(this.#revision, this.#failures > 0));
                await wait(Math.max(0, startedAt + MIN_INTERVAL_MS - getNow()));
            }
            catch (error) {
                if (!(error instanceof SourceError)) {
                    this.#options.log.write("internal-error", { source: "store", reason: String(error) });
                }
                await this.#recover(
                    error instanceof SourceError ? error : SourceError.create("internal-error"),
                    startedAt,
                );
            }
        }
    }

    /** Ends `run` after the call in progress. */
    stop(): void {
        this.#isStopped = true;
    }

    async #recover(error: SourceError, sentAt: number): Promise<void> {
        const { targetDirectory, log, getNow, getRandom, wait } = this.#options;
        if (error.code === "history-lost") {
            log.write("store-history-lost", { revision: this.#revision });
            this.#revision = undefined;
            return;
        }
        targetDirectory.setUnreachable(sentAt, getNow());
        this.#failures += 1;
        if (this.#failures === 1) {
            this.#lostAt = getNow();
            log.write("store-lost", { code: error.code, status: error.status });
        }
        const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.#failures);
        await wait(backoffMs / 2 + getRandom() * backoffMs / 2);
    }

    #apply(batch: ChangeBatch): void {
        const { targetDirectory, log, getNow, onConfirmed } = this.#options;
        if (this.#failures > 0) {
            this.#failures = 0;
            log.write("store-regained", {
                revision: batch.revision,
                outageMs: Math.round(getNow() - this.#lostAt),
            });
        }
        targetDirectory.setReachable(getNow());
        this.#applyConfiguration(batch);
        this.#applyEvacuations(batch);
        this.#applyTargets(batch);
        onConfirmed(batch.confirmedAt, batch.confirmedTimeOfDay);
        this.#revision = batch.revision;
    }

    #applyConfiguration(batch: ChangeBatch): void {
        for (const change of batch.changes) {
            if (change.key !== CONFIGURATION_KEY || change.value === undefined) {
                continue;
            }
            try {
                this.#options.onConfiguration(decodeConfiguration(Buffer.from(change.value, "base64")));
            }
            catch (error) {
                this.#options.log.write("configuration-invalid", {
                    revision: change.revision,
                    reason: String(error),
                });
            }
        }
    }

    #applyEvacuations(batch: ChangeBatch): void {
        const changes = batch.changes.filter(change => change.key.startsWith(EVACUATION_PREFIX));
        if (batch.isWhole) {
            this.#evacuated.clear();
        }
        for (const change of changes) {
            const dataCentre = change.key.slice(EVACUATION_PREFIX.length);
            if (change.value === undefined) {
                this.#evacuated.delete(dataCentre);
            }
            else {
                this.#evacuated.add(dataCentre);
            }
        }
        if (batch.isWhole || changes.length > 0) {
            this.#options.onEvacuated(new Set(this.#evacuated));
        }
    }

    #applyTargets(batch: ChangeBatch): void {
        const { targetDirectory, log, getNow, onTargets } = this.#options;
        const changes = batch.changes.filter(change => change.key.startsWith(TARGET_PREFIX));
        if (batch.isWhole) {
            const listed = changes.flatMap(change => this.#decodeTarget(change) ?? []);
            for (const target of targetDirectory.replaceAll(listed, getNow())) {
                const state = targetDirectory.has(target) ? "missing" : "removed";
                log.write("target-changed", { target, state, revision: batch.revision });
            }
        }
        else {
            changes.forEach(change => this.#applyTarget(change));
        }
        if (batch.isWhole || changes.length > 0) {
            onTargets();
        }
    }

    #applyTarget(change: Change): void {
        const { targetDirectory, log, getNow } = this.#options;
        const id = change.key.slice(TARGET_PREFIX.length);
        const target = this.#decodeTarget(change);
        let state: string;
        if (target) {
            targetDirectory.set(target);
            state = target.isDraining ? "draining" : "ready";
        }
        else {
            state = targetDirectory.remove(id, getNow()) ? "removed" : "missing";
        }
        log.write("target-changed", { target: id, state, revision: change.revision });
    }

    #decodeTarget(change: Change): TargetDescriptor | undefined {
        if (change.value === undefined) {
            return undefined;
        }
        const id = change.key.slice(TARGET_PREFIX.length);
        const target = decodeTarget(id, Buffer.from(change.value, "base64"), this.#options.getNow());
        if (!target) {
            this.#options.log.write("target-invalid", { target: id, revision: change.revision });
        }
        return target;
    }
}
