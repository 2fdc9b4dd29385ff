import { pickByHash } from "./pickByHash.js";
import type { TargetState } from "./targetState.js";

interface AffinityTargets {
    /** Affinity target in the local region, or in a remote one if the local region has no usable target. */
    readonly affinityTarget?: TargetState | undefined;
    /** Affinity target in a remote region, which probably has the part cached too; absent if `affinityTarget` is remote. */
    readonly remoteAffinityTarget?: TargetState | undefined;
}

/** Prompt parts whose affinity targets are cached. */
const MAX_CACHED_PARTS = 4000;

/**
 * Finds the affinity targets of prompt parts. All instances of a region compute the same one, so that a part is read
 * once per region, or fetched from the next. Results are cached while the set of usable targets stays the same, since
 * each costs one hash per target.
 */
export class PromptAffinity {
    readonly #isLocal: (target: TargetState) => boolean;
    readonly #cache = new Map<string, AffinityTargets>();
    #targetsKey = "";

    private constructor(isLocal: (target: TargetState) => boolean) {
        this.#isLocal = isLocal;
    }

    /** @param isLocal Returns whether a target is in the local region. */
    static create(isLocal: (target: TargetState) => boolean): PromptAffinity {
        return new PromptAffinity(isLocal);
    }

    /** Returns the affinity targets of a prompt part among the usable targets. */
    find(partId: string, targets: readonly TargetState[]): AffinityTargets {
        const key = targets.map(target => target.descriptor.id).join();
        if (key !== this.#targetsKey || this.#cache.size >= MAX_CACHED_PARTS) {
            this.#targetsKey = key;
            this.#cache.clear();
        }
        let affinityTargets = this.#cache.get(partId);
        if (!affinityTargets) {
            affinityTargets = this.#compute(partId, targets);
            this.#cache.set(partId, affinityTargets);
        }
        return affinityTargets;
    }

    #compute(partId: string, targets: readonly TargetState[]): AffinityTargets {
        const pick = (list: readonly TargetState[]): TargetState | undefined => {
            const id = pickByHash(partId, list.map(({ descriptor }) => descriptor.id));
            return list.find(({ descriptor }) => descriptor.id === id);
        };
        const local = pick(targets.filter(this.#isLocal));
        const remote = pick(targets.filter(target => !this.#isLocal(target)));
        return local ? { affinityTarget: local, remoteAffinityTarget: remote } : { affinityTarget: remote };
    }
}
