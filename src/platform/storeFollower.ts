import type { Change } from "../core/routing/change.js";
import type { ChangeBatch } from "../core/routing/changeBatch.js";
import type { ChangePosition } from "../core/routing/changePosition.js";
import type { ChangeSource } from "../core/routing/changeSource.js";
import { Evacuations } from "../core/routing/evacuations.js";
import { RestoreTracker } from "../core/routing/restoreTracker.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import { SourceError } from "../core/routing/sourceError.js";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";
import type { TargetDirectory } from "../core/routing/targetDirectory.js";
import type { LogSink } from "../router/logSink.js";
import { decodeConfiguration } from "./decodeConfiguration.js";
import { decodeTarget } from "./decodeTarget.js";
import { storeKeys } from "./storeKeys.js";

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

/** Lines about invalid registrations in one batch of changes. */
const MAX_INVALID_LINES = 20;
/** Failed calls are billed too. */
const MIN_BACKOFF_MS = 100;
/** With the timeout of an urgent call, bounds the time until the end of an outage is noticed. */
const MAX_BACKOFF_MS = 500;
/** Calls are billed, so changes in quick succession are read together; the shortest bound for a change is 2.5 s. */
const MIN_INTERVAL_MS = 600;

/** Registration of a target as the store has it. */
interface Registration {
    readonly id: string;
    readonly revision: number;
    /** `undefined` if the registration is invalid or was removed. */
    readonly target: TargetDescriptor | undefined;
    readonly isRemoved: boolean;
}

/** Follows the platform's store and notifies the router of changes. */
export class StoreFollower {
    readonly #options: StoreFollowerOptions;
    readonly #evacuations = Evacuations.create();
    readonly #restores = RestoreTracker.create();
    /** Position up to which all changes are applied; `undefined` if everything has to be read. */
    #position: ChangePosition | undefined;
    /** Highest version of a configuration that was read, and the highest since the store was last restored. */
    #newestVersion = 0;
    #restoredVersion = 0;
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
            if (this.#restores.takeSettled(startedAt)) {
                this.#position = undefined;
            }
            try {
                this.#apply(await source(this.#position, this.#failures > 0));
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
            log.write("store-history-lost", { ...this.#position });
            this.#position = undefined;
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
        const { era, revision } = batch;
        const { newest } = this.#restores;
        const verdict = this.#restores.adopt(batch, getNow());
        if (verdict === "outdated") {
            log.write("store-outdated", { era, revision, known: newest });
            throw SourceError.create("position-outdated");
        }
        if (this.#failures > 0) {
            this.#failures = 0;
            log.write("store-regained", {
                era,
                revision,
                outageMs: Math.round(getNow() - this.#lostAt),
            });
        }
        targetDirectory.setReachable(getNow(), verdict === "restored");
        if (verdict === "restored") {
            log.write("store-restored", { era, revision, known: newest });
            this.#restoredVersion = 0;
        }
        this.#applyConfiguration(batch);
        const isOldCopy = this.#restores.isSettling(getNow());
        this.#applyEvacuations(batch, isOldCopy);
        this.#applyTargets(batch, isOldCopy);
        // Until the operator has written the newest configuration again, the copy may lack a withdrawn key.
        if (!isOldCopy || this.#restoredVersion >= this.#newestVersion) {
            onConfirmed(batch.confirmedAt, batch.confirmedTimeOfDay);
        }
        this.#position = { era, revision };
    }

    #applyConfiguration(batch: ChangeBatch): void {
        for (const change of batch.changes) {
            if (change.key !== storeKeys.configuration || change.value === undefined) {
                continue;
            }
            try {
                const configuration = decodeConfiguration(Buffer.from(change.value, "base64"));
                this.#newestVersion = Math.max(this.#newestVersion, configuration.version);
                this.#restoredVersion = Math.max(this.#restoredVersion, configuration.version);
                this.#options.onConfiguration(configuration);
            }
            catch (error) {
                this.#options.log.write("configuration-invalid", {
                    revision: change.revision,
                    reason: String(error),
                });
            }
        }
    }

    #applyEvacuations(batch: ChangeBatch, isOldCopy: boolean): void {
        const changes = batch.changes.filter(change => change.key.startsWith(storeKeys.evacuationPrefix))
            .map(({ key, revision, value }) => ({
                dataCentre: key.slice(storeKeys.evacuationPrefix.length),
                revision,
                isSet: value !== undefined,
            }));
        if (batch.isWhole) {
            this.#evacuations.replaceAll(changes, isOldCopy);
        }
        else {
            this.#evacuations.apply(changes);
        }
        if (batch.isWhole || changes.length > 0) {
            this.#options.onEvacuated(this.#evacuations.list());
        }
    }

    #applyTargets(batch: ChangeBatch, isOldCopy: boolean): void {
        const { targetDirectory, log, getNow, onTargets } = this.#options;
        const registrations = batch.changes.filter(change => change.key.startsWith(storeKeys.targetPrefix))
            .map(change => this.#decodeTarget(change));
        this.#logInvalid(registrations.filter(({ target, isRemoved }) => !target && !isRemoved));
        if (batch.isWhole) {
            const listed = registrations.flatMap(({ target }) => target ?? []);
            const { missing, outdated } = targetDirectory.replaceAll(listed, getNow(), isOldCopy);
            for (const target of missing) {
                const state = targetDirectory.has(target) ? "missing" : "removed";
                log.write("target-changed", { target, state, revision: batch.revision });
            }
            for (const target of outdated) {
                log.write("target-changed", { target, state: "outdated", revision: batch.revision });
            }
        }
        else {
            registrations.forEach(registration => this.#applyTarget(registration));
        }
        if (batch.isWhole || registrations.length > 0) {
            onTargets();
        }
    }

    #applyTarget({ id, revision, target }: Registration): void {
        const { targetDirectory, log, getNow } = this.#options;
        let state: string;
        if (target) {
            targetDirectory.set(target);
            state = target.isDraining ? "draining" : "ready";
        }
        else if (targetDirectory.has(id)) {
            state = targetDirectory.remove(id, getNow()) ? "removed" : "missing";
        }
        else {
            return;
        }
        log.write("target-changed", { target: id, state, revision });
    }

    /** Other writers may leave thousands of odd entries, whose lines would displace those of requests. */
    #logInvalid(registrations: readonly Registration[]): void {
        const { log } = this.#options;
        for (const { id, revision } of registrations.slice(0, MAX_INVALID_LINES)) {
            log.write("target-invalid", { target: id, revision });
        }
        if (registrations.length > MAX_INVALID_LINES) {
            log.write("targets-invalid", { count: registrations.length });
        }
    }

    #decodeTarget({ key, revision, value }: Change): Registration {
        const id = key.slice(storeKeys.targetPrefix.length);
        const target = value === undefined
            ? undefined
            : decodeTarget(id, Buffer.from(value, "base64"), this.#options.getNow());
        return { id, revision, target, isRemoved: value === undefined };
    }
}
