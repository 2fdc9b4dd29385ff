import { pickHomeTarget } from "./pickHomeTarget.js";
import type { TargetState } from "./targetState.js";

interface Homes {
    /** Affinity target in the local region, or in a remote one if the local region has no usable target. */
    readonly home?: TargetState | undefined;
    /** Affinity target in a remote region, which probably has the part cached too; absent if `home` is remote. */
    readonly remote?: TargetState | undefined;
}

/** Prompt parts whose affinity targets are cached. */
const MAX_REMEMBERED = 4000;

/**
 * Finds the affinity targets of prompt parts. All instances of a region compute the same one, so that a part is read
 * once per region, or fetched from the next. Results are cached while the set of usable targets stays the same, since
 * each costs one hash per target.
 */
export class PromptHomes {
    readonly #isNear: (target: TargetState) => boolean;
    readonly #known = new Map<string, Homes>();
    #targets = "";

    private constructor(isNear: (target: TargetState) => boolean) {
        this.#isNear = isNear;
    }

    /** @param isNear Returns whether a target is in the local region. */
    static create(isNear: (target: TargetState) => boolean): PromptHomes {
        return new PromptHomes(isNear);
    }

    /** Returns the affinity targets of a prompt part among the usable targets. */
    find(partId: string, targets: readonly TargetState[]): Homes {
        const key = targets.map(target => target.entry.id).join();
        if (key !== this.#targets || this.#known.size >= MAX_REMEMBERED) {
            this.#targets = key;
            this.#known.clear();
        }
        let homes = this.#known.get(partId);
        if (!homes) {
            homes = this.#compute(partId, targets);
            this.#known.set(partId, homes);
        }
        return homes;
    }

    #compute(partId: string, targets: readonly TargetState[]): Homes {
        const pick = (list: readonly TargetState[]): TargetState | undefined => {
            const id = pickHomeTarget(partId, list.map(({ entry }) => entry.id));
            return list.find(({ entry }) => entry.id === id);
        };
        const near = pick(targets.filter(this.#isNear));
        const remote = pick(targets.filter(target => !this.#isNear(target)));
        return near ? { home: near, remote } : { home: remote };
    }
}
