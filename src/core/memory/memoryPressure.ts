import { memorySizes } from "./memorySizes.js";

/** Memory of the process in bytes. */
interface MemoryUsage {
    /** Heap that is committed, the part of it that is in use, and its limit. */
    readonly heapBytes: number;
    readonly heapUsedBytes: number;
    readonly heapLimitBytes: number;
    /** Buffers outside the heap, with those that are not collected yet. */
    readonly externalBytes: number;
    /** As last measured. */
    readonly residentBytes: number;
}

/** Least room beside the baseline that is assumed: the heap alone takes half of it in common service, which goes on. */
const MIN_ROOM_BYTES = 50_331_648;
/** Marks, as parts of what the limit leaves beside the baseline; the rest is for fragments that the allocator keeps. */
const COLLECT_MARK = 0.3;
const LOW_MARK = 0.55;
const HIGH_MARK = 0.7;
/** Marks as parts of the limit of the heap, at which V8 aborts the process. */
const LOW_HEAP_MARK = 0.65;
const HIGH_HEAP_MARK = 0.8;
/** Mark of the measured resident memory, as a part of the limit. */
const RESIDENT_MARK = 0.9;
/** Growth after which garbage is collected, as a part of what the limit leaves, and the least growth in bytes. */
const COLLECT_STEP = 0.0625;
const MIN_COLLECT_STEP_BYTES = 4_194_304;
/** Growth, in such steps, after which a full collection follows. */
const FULL_STEPS = 2;
/** Near the limit, what has ended meanwhile is collected again and again, since no growth shows it. */
const NEAR_INTERVAL_MS = 1000;

/**
 * Decides from the memory of the process whether it takes further requests and when it collects garbage. Between the marks
 * it goes on as before.
 */
export class MemoryPressure {
    readonly #limitBytes: number;
    readonly #roomBytes: number;
    readonly #stepBytes: number;
    #isScarce = false;
    /** Estimates after the last collections. */
    #afterMinor = 0;
    #afterFull = 0;
    /** Monotonic time in milliseconds of the last full collection. */
    #fullAt = Number.NEGATIVE_INFINITY;

    private constructor(limitBytes: number) {
        this.#limitBytes = limitBytes;
        this.#roomBytes = Math.max(MIN_ROOM_BYTES, limitBytes - memorySizes.baseline);
        this.#stepBytes = Math.max(MIN_COLLECT_STEP_BYTES, COLLECT_STEP * this.#roomBytes);
    }

    /** Creates a state in which memory is plentiful, for a limit of the resident memory. */
    static create(limitBytes: number): MemoryPressure {
        return new MemoryPressure(limitBytes);
    }

    /** True while no further requests are taken. */
    get isScarce(): boolean {
        return this.#isScarce;
    }

    /** Estimates the resident memory without what the allocator keeps free for later use. */
    static estimate({ heapBytes, externalBytes }: MemoryUsage): number {
        return memorySizes.baseline + heapBytes + externalBytes;
    }

    /** Observes the memory. Returns whether `isScarce` has changed. */
    observe(usage: MemoryUsage): boolean {
        const estimate = MemoryPressure.estimate(usage);
        const heapShare = usage.heapUsedBytes / usage.heapLimitBytes;
        const wasScarce = this.#isScarce;
        const isLow = estimate <= this.#getMark(LOW_MARK) && heapShare <= LOW_HEAP_MARK;
        // Freed memory stays resident and is used again, so that the resident memory alone says little.
        const isHigh = estimate > this.#getMark(HIGH_MARK) || heapShare > HIGH_HEAP_MARK
            || (!isLow && usage.residentBytes > RESIDENT_MARK * this.#limitBytes);
        this.#isScarce = isHigh || (wasScarce && !isLow);
        return this.#isScarce !== wasScarce;
    }

    /** Plans the collection at a monotonic time in milliseconds. */
    planCollection(usage: MemoryUsage, now: number): "none" | "minor" | "full" {
        const estimate = MemoryPressure.estimate(usage);
        this.#afterMinor = Math.min(this.#afterMinor, estimate);
        this.#afterFull = Math.min(this.#afterFull, estimate);
        const isNear = this.#isScarce || usage.residentBytes > RESIDENT_MARK * this.#limitBytes;
        if (isNear && now - this.#fullAt >= NEAR_INTERVAL_MS) {
            return "full";
        }
        if (estimate <= this.#getMark(COLLECT_MARK) || estimate - this.#afterMinor < this.#stepBytes) {
            return "none";
        }
        const isFull = estimate > this.#getMark(LOW_MARK)
            && estimate - this.#afterFull >= FULL_STEPS * this.#stepBytes;
        return isFull ? "full" : "minor";
    }

    /** Records the memory after a collection. */
    recordCollection(kind: "minor" | "full", usage: MemoryUsage, now: number): void {
        this.#afterMinor = MemoryPressure.estimate(usage);
        if (kind === "full") {
            this.#afterFull = this.#afterMinor;
            this.#fullAt = now;
        }
    }

    #getMark(part: number): number {
        return memorySizes.baseline + part * this.#roomBytes;
    }
}
