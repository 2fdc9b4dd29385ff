import type { CapacityClass } from "../admission/capacityClass.js";
import type { AccountUsage } from "./accountUsage.js";
import type { CrashRecord } from "./crashRecord.js";
import { describeRequestKind } from "./describeRequestKind.js";
import { reserveTarget } from "./reserveTarget.js";
import type { TargetGrant } from "./targetGrant.js";
import { TargetPicker } from "./targetPicker.js";
import type { WaitingRequest } from "./waitingRequest.js";

type TargetPickerOptions = Parameters<typeof TargetPicker.create>[0];

interface TargetGranterOptions extends TargetPickerOptions {
    readonly crashRecord: CrashRecord;
    readonly usage: AccountUsage;
    /** True while a decision is only explained, so that nothing is reserved. */
    readonly isExplaining: () => boolean;
}

/** Picks targets with capacity and reserves it. */
export class TargetGranter {
    readonly #options: TargetGranterOptions;
    readonly #picker: TargetPicker;

    private constructor(options: TargetGranterOptions) {
        this.#options = options;
        this.#picker = TargetPicker.create(options);
    }

    /** Creates a granter. */
    static create(options: TargetGranterOptions): TargetGranter {
        return new TargetGranter(options);
    }

    /** Scores the targets for a request as `tryGrant` does; reserves nothing. */
    compareTargets(
        ...args: Parameters<TargetPicker["compareTargets"]>
    ): ReturnType<TargetPicker["compareTargets"]> {
        return this.#picker.compareTargets(...args);
    }

    /**
     * Grants a request the best target; returns `undefined` if none has capacity now.
     *
     * @param capacity Capacity that the request may use, by the share of its account.
     * @param blocked Kinds of requests for which no target has capacity; further requests of these kinds are not tried.
     */
    tryGrant(
        waiting: Pick<WaitingRequest, "request" | "excludedTargets">,
        capacity: CapacityClass,
        blocked: Set<string>,
        now: number,
    ): TargetGrant | undefined {
        const { request, excludedTargets } = waiting;
        const kind = describeRequestKind(request, capacity);
        if (blocked.has(kind)) {
            return undefined;
        }
        const candidate = this.#picker.pick(waiting, capacity, now);
        if (candidate && this.#options.isExplaining()) {
            return candidate.grant;
        }
        if (candidate) {
            this.#picker.recordGrant(candidate, now);
            return reserveTarget(this.#options, request, candidate, now);
        }
        if (excludedTargets.size === 0) {
            blocked.add(kind);
        }
        return undefined;
    }
}
