import type { TargetSpeed } from "./targetSpeed.js";

type Targets = ReadonlyMap<string, { readonly speed: TargetSpeed; }>;

/** Usual processing time of a request at a plain service until it is learned. */
const PRIOR_WORK_MS = 20;
const MIN_WORK_MS = 1;
const MAX_WORK_MS = 2000;
/** Weight of a sample in the moving average of the logarithm of the work time; the first ones count more. */
const WORK_WEIGHT = 0.02;
/** A response that took longer than this multiple of the usual time shows a stall rather than the work. */
const MAX_DEVIATION = 3;

/** Speeds of the targets of one service. */
export class ServiceSpeeds {
    readonly #targets: Targets;
    #isActive = false;
    #workMs = PRIOR_WORK_MS;
    #samples = 0;

    private constructor(targets: Targets) {
        this.#targets = targets;
    }

    /** @param targets Targets of the service, which may change. */
    static create(targets: Targets): ServiceSpeeds {
        return new ServiceSpeeds(targets);
    }

    /** Whether speeds count for the service: at least half of its targets that have answered tell how long work takes. */
    get isActive(): boolean {
        return this.#isActive;
    }

    /** Usual processing time in milliseconds of a request at an idle target, if the service is a plain one. */
    get plainWorkMs(): number {
        return this.#isActive ? this.#workMs : PRIOR_WORK_MS;
    }

    /** Decides anew whether speeds count, after a target has stated its load, or the list of targets has changed. */
    update(): void {
        let named = 0;
        let unnamed = 0;
        for (const { speed: { namesRatio } } of this.#targets.values()) {
            named += Number(namesRatio === true);
            unnamed += Number(namesRatio === false);
        }
        this.#isActive = named > 0 && named >= unnamed;
    }

    /** Records the time in milliseconds that a request would have taken at an idle target of a plain service. */
    recordPlainWork(ms: number): void {
        this.#samples += 1;
        const weight = Math.max(WORK_WEIGHT, 1 / this.#samples);
        const ratio = Math.min(MAX_DEVIATION, Math.max(1 / MAX_DEVIATION, ms / this.#workMs));
        this.#workMs = Math.min(MAX_WORK_MS, Math.max(MIN_WORK_MS, this.#workMs * ratio ** weight));
    }
}
