import type { ChangeBatch } from "../core/routing/changeBatch.js";
import type { ChangeLog } from "../core/routing/changeLog.js";
import type { ChangePosition } from "../core/routing/changePosition.js";
import type { ChangeReaders } from "../core/routing/changeReaders.js";
import type { ChangeSource } from "../core/routing/changeSource.js";
import { comparePositions } from "../core/routing/comparePositions.js";
import { SourceError } from "../core/routing/sourceError.js";
import type { LogSink } from "./logSink.js";

interface RelayedChangeSourceOptions {
    readonly direct: ChangeSource;
    readonly readPeer: (host: string, after: ChangePosition | undefined) => Promise<ChangeBatch>;
    readonly findReaders: () => ChangeReaders;
    /** Changes that this instance serves to its peers. */
    readonly changeLog: ChangeLog;
    readonly log: LogSink;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

/** After all readers have failed, the platform is read directly for this long. */
const DIRECT_FALLBACK_MS = 3000;

/** Reads the platform's changes through readers of the data centre, and from the platform itself when they fail. */
export class RelayedChangeSource {
    readonly #options: RelayedChangeSourceOptions;
    #directUntil = 0;

    private constructor(options: RelayedChangeSourceOptions) {
        this.#options = options;
    }

    /** Creates the source. */
    static create(options: RelayedChangeSourceOptions): RelayedChangeSource {
        return new RelayedChangeSource(options);
    }

    /**
     * Waits for changes after a position.
     *
     * @param isUrgent True to read from the platform without waiting, should the readers fail.
     *
     * @throws SourceError when neither a reader nor the platform responds.
     */
    async read(after: ChangePosition | undefined, isUrgent = false): Promise<ChangeBatch> {
        const { changeLog, findReaders, getNow } = this.#options;
        const readers = findReaders();
        if (readers.hosts.length > 0 && getNow() >= this.#directUntil) {
            const relayed = await this.#readPeers(readers, after);
            if (relayed) {
                changeLog.append(relayed);
                return relayed;
            }
            this.#directUntil = getNow() + DIRECT_FALLBACK_MS;
            return this.#readDirect(after, true);
        }
        return this.#readDirect(after, isUrgent);
    }

    async #readDirect(after: ChangePosition | undefined, isUrgent: boolean): Promise<ChangeBatch> {
        const { direct, changeLog } = this.#options;
        const batch = await direct(after, isUrgent);
        changeLog.append(batch);
        return batch;
    }

    async #readPeers(
        { hosts, maxAgeMs }: ChangeReaders,
        after: ChangePosition | undefined,
    ): Promise<ChangeBatch | undefined> {
        const { readPeer, log, getNow } = this.#options;
        for (const host of hosts) {
            try {
                const batch = await readPeer(host, after);
                const ageMs = getNow() - batch.confirmedAt;
                if (ageMs <= maxAgeMs && this.#isUsable(batch, after)) {
                    return batch;
                }
                log.write("reader-stale", {
                    host,
                    ageMs: Math.round(ageMs),
                    era: batch.era,
                    revision: batch.revision,
                    after: after?.revision,
                });
            }
            catch (error) {
                if (!(error instanceof SourceError)) {
                    throw error;
                }
                log.write("reader-lost", { host, code: error.code });
            }
        }
        return undefined;
    }

    /** Returns whether a peer's batch is not older than what this instance has seen, and goes on from `after`. */
    #isUsable(batch: ChangeBatch, after: ChangePosition | undefined): boolean {
        const { position } = this.#options.changeLog;
        return (!position || comparePositions(batch, position) >= 0)
            && (batch.isWhole || batch.era === after?.era);
    }
}
