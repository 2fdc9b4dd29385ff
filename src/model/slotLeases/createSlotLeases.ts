import { createLedger } from "../../core/lease/createLedger.js";
import type { Specification } from "../specification.js";
import { applyModelEvent } from "./applyModelEvent.js";
import { applyOwnerEvent } from "./applyOwnerEvent.js";
import { listModelEvents } from "./listModelEvents.js";
import type { ModelEntry } from "./modelEntry.js";
import type { ModelEvent } from "./modelEvent.js";
import type { ModelOptions } from "./modelOptions.js";
import type { ModelState } from "./modelState.js";
import { normalizeState } from "./normalizeState.js";
import { targetName } from "./targetName.js";

const TIMINGS = { termMs: 1, marginMs: 1, loadReportTimeoutMs: 1000, loadReportAgeMs: 0, viewSkewMs: 0 };
const DEFAULTS: ModelOptions = {
    name: "slot leases",
    ticks: 6,
    faults: 1,
    takeovers: 1,
    slotLimit: 2,
    coldLimit: 1,
    maxSkew: 1,
    timings: TIMINGS,
    lenderTimings: TIMINGS,
    changeLedger: ledger => ledger,
};

/**
 * Creates a specification of slot leases: two owners, two lenders (a change of the instance list moves all
 * slots from the first to the second), two entries and one target, which is cold at first. Owners and lenders
 * run the production reducers.
 */
export function createSlotLeases(change: Partial<ModelOptions> = {}): Specification<ModelState, ModelEvent> {
    const options: ModelOptions = { ...DEFAULTS, ...change };
    const { slotLimit, coldLimit, maxSkew, ticks, takeovers, faults, timings } = options;
    return {
        name: options.name,
        bounds: [
            `1 target of ${slotLimit} slot(s) (cold: ${coldLimit}), 2 owners, 2 lenders, 2 entries, ${ticks} ticks`,
            `lease term ${timings.termMs} tick, margin ${timings.marginMs}; load reports without measurement delay`,
            "turns in each tick: environment, owners (borrow, read load, or paused), first entry, second entry",
            `${takeovers} takeover(s) by the second owner, at any time; the first owner may keep running or be paused`,
            "the first entry reports to the first owner; the second may switch to the second owner at any time",
            `${faults} other fault(s) per history: crash or pause of the first entry between deadline check and`
            + " write, lender restart, instance list change, lost or delayed message (a delayed one may be overtaken)",
            `the lenders adopt an instance list within ${maxSkew} tick(s) of one another; owners borrow from both`,
            "a target does not become cold again; the second entry has no faults and never finishes a request",
        ],
        initial: createInitialState(options),
        listEvents: state => listModelEvents(state, options),
        apply: (state, event) => normalizeState(applyModelEvent(state, event, options)),
        invariants: [
            {
                name: "I3: a target in cold start gets no more work than it can handle",
                isHeld: state => state.isWarm || countRunning(state) <= coldLimit,
            },
            {
                name: "the slots of a target in use never exceed its limit",
                isHeld: state => countRunning(state) <= slotLimit,
            },
        ],
    };
}

function createInitialState(options: ModelOptions): ModelState {
    const { slotLimit, coldLimit } = options;
    const entry: ModelEntry = {
        incarnation: 0,
        owner: "a",
        sequence: 0,
        applied: undefined,
        slots: 0,
        deadline: 0,
        inUse: 0,
        kept: 0,
        checkedAt: undefined,
    };
    const state: ModelState = {
        lenders: [
            { assignments: [{ index: 0, count: 1, from: -2 }], loan: undefined },
            { assignments: [{ index: -1, count: 0, from: -2 }], loan: undefined },
        ],
        adopted: [false, false],
        skew: 0,
        owners: { a: createLedger(1, 0, 0, []) },
        entries: [entry, entry],
        orphans: 0,
        isWarm: false,
        phase: 0,
        delayed: undefined,
        ticks: options.ticks,
        takeovers: options.takeovers,
        faults: options.faults,
    };
    const targets = { [targetName]: { slotLimit, coldLimit, inService: true } };
    return normalizeState(applyOwnerEvent(state, "a", { type: "configure", targets }, options).state);
}

function countRunning(state: ModelState): number {
    return state.entries.reduce((sum, entry) => sum + entry.inUse, state.orphans);
}
