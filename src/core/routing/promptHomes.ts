import { pickHomeTarget } from "./pickHomeTarget.js";
import type { TargetState } from "./targetState.js";

interface Homes {
    /** Target of the own region that keeps the shared parts of a prompt. */
    readonly home?: TargetState | undefined;
    /** One of another region that keeps them too, or the home if the own region has no target. */
    readonly remote?: TargetState | undefined;
}

/** Prompt parts whose homes are remembered. */
const MAX_REMEMBERED = 4000;

/**
 * Finds the homes of prompt parts. All instances of a region compute the same home, so that a part is read once a region
 * or taken from the next. Homes are remembered while the same targets can be used, since each costs a hash a target.
 */
export class PromptHomes {
    readonly #isNear: (target: TargetState) => boolean;
    readonly #known = new Map<string, Homes>();
    #targets = "";

    private constructor(isNear: (target: TargetState) => boolean) {
        this.#isNear = isNear;
    }

    /** @param isNear Returns whether a target is in the region of this instance. */
    static create(isNear: (target: TargetState) => boolean): PromptHomes {
        return new PromptHomes(isNear);
    }

    /** Returns the homes of a prompt part among the targets that can be used. */
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
