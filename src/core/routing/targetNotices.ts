import type { TargetDescriptor } from "./targetDescriptor.js";
import type { TargetNotice } from "./targetNotice.js";

type TargetStart = Pick<TargetDescriptor, "id" | "startedAtMs">;

interface KnownNotice {
    readonly startedAtMs: number;
    readonly isLeaving: boolean;
    /** Monotonic time in milliseconds. */
    readonly pausedUntil: number;
}

interface TargetNoticesOptions {
    /** Called when a target is found to leave, or to want no requests until a monotonic time in milliseconds. */
    readonly onNotice: (targetId: string, notice: Pick<KnownNotice, "isLeaving" | "pausedUntil">) => void;
    readonly onUnusual: (targetId: string, headers: readonly string[]) => void;
}

/** Limit of targets with notices; far more than leave or pause while their registration is listed. */
const MAX_TARGETS = 2000;

/**
 * What targets have said in their responses to this instance: that they leave, and until when they want no requests. It
 * holds for one start of a target, whatever the platform lists.
 */
export class TargetNotices {
    readonly #options: TargetNoticesOptions;
    /** By target, the oldest first. */
    readonly #notices = new Map<string, KnownNotice>();

    private constructor(options: TargetNoticesOptions) {
        this.#options = options;
    }

    /** Creates a record without notices. */
    static create(options: TargetNoticesOptions): TargetNotices {
        return new TargetNotices(options);
    }

    /** Returns whether the target has said that it leaves. */
    isLeaving(target: TargetStart): boolean {
        return this.#find(target)?.isLeaving ?? false;
    }

    /** Returns the monotonic time in milliseconds until which the target wants no requests; 0 if it has stated none. */
    getPausedUntil(target: TargetStart): number {
        return this.#find(target)?.pausedUntil ?? 0;
    }

    /** Records what a response says, at a monotonic time in milliseconds. */
    observe(target: TargetStart, notice: TargetNotice, now: number): void {
        const { onNotice, onUnusual } = this.#options;
        if (notice.unusualHeaders.length > 0) {
            onUnusual(target.id, notice.unusualHeaders);
        }
        if (!notice.isLeaving && notice.pauseMs === undefined) {
            return;
        }
        const known = this.#find(target);
        const isLeaving = notice.isLeaving || (known?.isLeaving ?? false);
        const pausedUntil = Math.max(known?.pausedUntil ?? 0, now + (notice.pauseMs ?? 0));
        const isPaused = (known?.pausedUntil ?? 0) > now;
        this.#notices.delete(target.id);
        this.#notices.set(target.id, { startedAtMs: target.startedAtMs, isLeaving, pausedUntil });
        const [oldest] = this.#notices.keys();
        if (this.#notices.size > MAX_TARGETS && oldest !== undefined) {
            this.#notices.delete(oldest);
        }
        if (isLeaving !== known?.isLeaving || (pausedUntil > now && !isPaused)) {
            onNotice(target.id, { isLeaving, pausedUntil });
        }
    }

    #find({ id, startedAtMs }: TargetStart): KnownNotice | undefined {
        const known = this.#notices.get(id);
        return known?.startedAtMs === startedAtMs ? known : undefined;
    }
}
