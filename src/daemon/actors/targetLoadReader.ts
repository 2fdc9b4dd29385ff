import type { LedgerEvent } from "../../core/lease/ledgerEvent.js";
import type { TargetSlots } from "../../core/lease/targetSlots.js";
import type { DaemonContext } from "../daemonContext.js";
import type { PoolOwnerOptions } from "./poolOwnerOptions.js";

interface TargetLoadReaderOptions {
    readonly context: DaemonContext;
    readonly options: Pick<PoolOwnerOptions, "fetchLoad" | "loadIntervalMs">;
    readonly onEvent: (event: LedgerEvent) => void;
}

type TargetTable = Readonly<Record<string, TargetSlots>>;

/** Reads the load reports of the targets of one pool, one read at a time for each target. */
export class TargetLoadReader {
    readonly #options: TargetLoadReaderOptions;
    readonly #reading = new Set<string>();
    readonly #failedAt = new Map<string, number>();

    private constructor(options: TargetLoadReaderOptions) {
        this.#options = options;
    }

    /** Creates a reader; the pool's timer calls `pollTargets`. */
    static create(options: TargetLoadReaderOptions): TargetLoadReader {
        return new TargetLoadReader(options);
    }

    /** Reads the load of every target. */
    pollTargets(targets: TargetTable): void {
        for (const target of Object.keys(targets)) {
            void this.#readLoad(target);
        }
    }

    /** Reads the load of targets whose slots cannot be granted before a newer load report. */
    pollUncertain(targets: TargetTable): void {
        for (const [target, slots] of Object.entries(targets)) {
            const readAt = Math.max(slots.load?.requestedAt ?? -1, this.#failedAt.get(target) ?? -1);
            if (slots.uncertainSince !== undefined && readAt < slots.uncertainSince) {
                void this.#readLoad(target);
            }
        }
    }

    async #readLoad(target: string): Promise<void> {
        const { context, options, onEvent } = this.#options;
        const { index } = context.getView();
        const url = index?.targets.get(index.targetNamesByHash.get(Number(target)) ?? "")?.url;
        if (url === undefined || this.#reading.has(target)) {
            return;
        }
        this.#reading.add(target);
        const requestedAt = context.getNow();
        const report = await options.fetchLoad(url, options.loadIntervalMs);
        this.#reading.delete(target);
        if (report === "refused") {
            onEvent({ type: "load-refused", target });
        }
        else if (report) {
            onEvent({ type: "load", target, report, requestedAt });
            return;
        }
        this.#failedAt.set(target, requestedAt);
        context.metrics.count("lease_events_total", { reason: "load-unavailable" });
    }
}
