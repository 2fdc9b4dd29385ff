import { getHeapStatistics } from "node:v8";
import { MemoryBudget } from "../core/memory/memoryBudget.js";
import { MemoryPressure } from "../core/memory/memoryPressure.js";
import { planBufferBytes } from "../core/memory/planBufferBytes.js";
import type { LogSink } from "./logSink.js";
import type { RequestMemory } from "./requestMemory.js";

interface MemoryGuardOptions {
    /** Limit of the resident memory in bytes. */
    readonly limitBytes: number;
    readonly log: Pick<LogSink, "write">;
    /** Collects garbage, of the young generation only if `isMinor`; `undefined` if the process was started without `--expose-gc`. */
    readonly collect: ((isMinor: boolean) => void) | undefined;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

type MemoryUsage = Parameters<MemoryPressure["observe"]>[0];

/** Bytes that are read from callers and targets between two checks. */
const CHECK_BYTES = 1_048_576;
/** The resident memory is read from a file, which costs three system calls. */
const RESIDENT_INTERVAL_MS = 1000;
const BYTES_PER_MB = 1_048_576;

/** Keeps the resident memory of the process below its limit: collects garbage, and tells when no request may be taken. */
export class MemoryGuard implements RequestMemory {
    readonly #options: MemoryGuardOptions;
    readonly #pressure: MemoryPressure;
    /** Bodies of requests and responses. */
    readonly budget: MemoryBudget;
    #uncheckedBytes = 0;
    #residentBytes = 0;
    /** Monotonic time in milliseconds. */
    #nextResidentAt = Number.NEGATIVE_INFINITY;

    private constructor(options: MemoryGuardOptions) {
        this.#options = options;
        this.#pressure = MemoryPressure.create(options.limitBytes);
        this.budget = MemoryBudget.create(
            planBufferBytes(options.limitBytes, getHeapStatistics().heap_size_limit),
        );
    }

    /** Creates a guard that has measured nothing. */
    static create(options: MemoryGuardOptions): MemoryGuard {
        return new MemoryGuard(options);
    }

    /** True while the process is too close to its limit. */
    get isScarce(): boolean {
        return this.#pressure.isScarce;
    }

    /** Resident memory in bytes, as last measured. */
    get residentBytes(): number {
        return this.#residentBytes;
    }

    /** Returns whether a request with a body of this length may be taken. */
    mayTake(bodyBytes: number): boolean {
        return !this.isScarce && this.budget.has(bodyBytes);
    }

    /** Records bytes that were read, whether they are kept or not, and checks the memory after some of them. */
    recordRead(bytes: number): void {
        this.#uncheckedBytes += bytes;
        if (this.#uncheckedBytes >= CHECK_BYTES) {
            this.#checkUsage();
        }
    }

    /** Checks the memory. */
    check(): void {
        const now = this.#options.getNow();
        if (now >= this.#nextResidentAt) {
            this.#nextResidentAt = now + RESIDENT_INTERVAL_MS;
            this.#readResident();
        }
        this.#checkUsage();
    }

    /** Without a free descriptor the file cannot be opened; the last value stays, and the rest is measured without it. */
    #readResident(): void {
        try {
            this.#residentBytes = process.memoryUsage.rss();
        }
        catch (error) {
            this.#options.log.write("memory-unread", { reason: String(error) });
        }
    }

    #checkUsage(): void {
        this.#uncheckedBytes = 0;
        let usage = this.#measure();
        const { collect, getNow } = this.#options;
        const kind = collect ? this.#pressure.planCollection(usage, getNow()) : "none";
        if (collect && kind !== "none") {
            collect(kind === "minor");
            usage = this.#measure();
            this.#pressure.recordCollection(kind, usage, getNow());
        }
        if (this.#pressure.observe(usage)) {
            this.#options.log.write("memory-changed", {
                isScarce: this.isScarce,
                estimatedMb: Math.round(MemoryPressure.estimate(usage) / BYTES_PER_MB),
                residentMb: Math.round(this.#residentBytes / BYTES_PER_MB),
                bufferedMb: Math.round(this.budget.usedBytes / BYTES_PER_MB),
            });
        }
    }

    #measure(): MemoryUsage {
        const statistics = getHeapStatistics();
        return {
            heapBytes: statistics.total_heap_size,
            heapUsedBytes: statistics.used_heap_size,
            heapLimitBytes: statistics.heap_size_limit,
            externalBytes: statistics.external_memory + statistics.malloced_memory,
            residentBytes: this.#residentBytes,
        };
    }
}
