import { computeService } from "./computeService.js";
import type { CounterState } from "./counterState.js";
import type { ServiceFloor } from "./serviceFloor.js";

interface LiftOptions {
    /** Requests that wait in the subtree, by account. */
    readonly waiting: ReadonlyMap<number, number>;
    readonly getShare: (account: number) => number;
    /** True at a root with complete totals; other nodes lift by floors, which stay local. */
    readonly raisesBases: boolean;
}

/**
 * Lifts newly backlogged accounts to the lowest normalised service of the accounts that stay backlogged, and
 * recomputes the range of backlogged accounts. When no account stays backlogged, they are lifted to the latest
 * known level, so that an account whose queue runs empty for a moment does not lose its priority to an idle one.
 */
export function liftAccounts(state: CounterState, options: LiftOptions): CounterState {
    const { getShare, raisesBases } = options;
    const backlogged = [...options.waiting].filter(([, count]) => count > 0).map(([account]) => account);
    const remaining = backlogged.filter(account => state.lifted.has(account));
    const level = remaining.reduce(
        (lowest, account) => Math.min(lowest, computeService(state, account, getShare(account))),
        remaining.length === 0 ? state.level : Number.POSITIVE_INFINITY,
    );
    const bases = new Map(state.bases);
    const floors = new Map<number, ServiceFloor>();
    let [lowest, highest] = [Number.POSITIVE_INFINITY, Number.NEGATIVE_INFINITY];
    for (const account of backlogged) {
        const service = computeService(state, account, getShare(account));
        const floor = state.floors.get(account);
        const isLow = !state.lifted.has(account) && service < level;
        if (isLow && raisesBases) {
            bases.set(account, (bases.get(account) ?? 0) + level - service);
        }
        if (isLow && !raisesBases) {
            floors.set(account, { level, served: state.served.get(account) ?? 0 });
        }
        if (!isLow && floor) {
            floors.set(account, floor);
        }
        lowest = Math.min(lowest, isLow ? level : service);
        highest = Math.max(highest, isLow ? level : service);
    }
    const isEmpty = backlogged.length === 0;
    return {
        ...state,
        bases,
        floors,
        lifted: new Set(backlogged),
        lowest: isEmpty ? undefined : lowest,
        highest: isEmpty ? undefined : highest,
        level: isEmpty ? state.level : lowest,
    };
}
