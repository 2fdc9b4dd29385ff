import type { Instance } from "../membership/instance.js";
import { selectClaimGroup } from "./selectClaimGroup.js";

interface HolderView {
    /** Wall-clock time in milliseconds at which the view came into force. */
    readonly sinceMs: number;
    readonly holders: readonly Instance[];
}

/** Number of views kept; a key that is older than the oldest kept view is not vouched for. */
const MAX_VIEWS = 64;

/**
 * The newest sets of claim holders in the view of one holder. An instance that joins the group of a key after other
 * holders were lost does not know the earlier claims of that key and must not vouch for it.
 */
export class HolderHistory {
    readonly #views: readonly HolderView[];

    private constructor(views: readonly HolderView[]) {
        this.#views = views;
    }

    /** Creates a history without views. */
    static create(): HolderHistory {
        return new HolderHistory([]);
    }

    /** The holders of the newest view; empty before the first. */
    get holders(): readonly Instance[] {
        return this.#views[0]?.holders ?? [];
    }

    /** Returns the history with a newer view, or this history if the holders have not changed. */
    addView(holders: readonly Instance[], sinceMs: number): HolderHistory {
        const listNames = (instances: readonly Instance[]): string =>
            instances.map(instance => `${instance.name}@${instance.dataCentre}`).toSorted().join(" ");
        if (this.#views.length > 0 && listNames(holders) === listNames(this.holders)) {
            return this;
        }
        return new HolderHistory([{ sinceMs, holders }, ...this.#views].slice(0, MAX_VIEWS));
    }

    /**
     * Returns the wall-clock time in milliseconds since which an instance has been in the group of a key without
     * interruption; `undefined` if it is not in the group now. Views that ended before `untilMs` are ignored.
     */
    findMemberSince(key: string, instance: string, untilMs: number): number | undefined {
        let memberSince: number | undefined;
        for (const view of this.#views) {
            if (!selectClaimGroup(key, view.holders).some(member => member.name === instance)) {
                break;
            }
            memberSince = view.sinceMs;
            if (view.sinceMs < untilMs) {
                break;
            }
        }
        return memberSince;
    }
}
