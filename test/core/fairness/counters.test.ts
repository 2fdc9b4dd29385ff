import test from "ava";
import fc from "fast-check";
import { applyCounterReply } from "../../../src/core/fairness/applyCounterReply.js";
import { applyCounterReport } from "../../../src/core/fairness/applyCounterReport.js";
import { applyRootRole } from "../../../src/core/fairness/applyRootRole.js";
import { buildCounterReply } from "../../../src/core/fairness/buildCounterReply.js";
import { buildCounterReport } from "../../../src/core/fairness/buildCounterReport.js";
import { chargeAccounts } from "../../../src/core/fairness/chargeAccounts.js";
import { computeNormalizedService } from "../../../src/core/fairness/computeNormalizedService.js";
import type { CounterReportValues } from "../../../src/core/fairness/counterReportValues.js";
import type { CounterState } from "../../../src/core/fairness/counterState.js";
import { createCounterState } from "../../../src/core/fairness/createCounterState.js";
import { createFairnessView } from "../../../src/core/fairness/createFairnessView.js";
import { evictChildren } from "../../../src/core/fairness/evictChildren.js";
import { liftAccounts } from "../../../src/core/fairness/liftAccounts.js";
import { setWaiting } from "../../../src/core/fairness/setWaiting.js";
import { sumWaiting } from "../../../src/core/fairness/sumWaiting.js";

type Loss = "none" | "report" | "reply" | "repeated";

const ACCOUNT = 7;
const OTHER = 8;
const SEED = 20261204;

/** Aggregation nodes whose reports can be lost or repeated; node 0 is the listed root. */
class Fleet {
    readonly states: CounterState[];
    readonly incarnations: number[];

    constructor(size: number) {
        this.states = Array.from({ length: size }, createCounterState);
        this.incarnations = this.states.map(() => 1);
        this.update(0, state => applyRootRole(state, { isListedRoot: true, collectMs: 0 }, 0));
    }

    get(index: number): CounterState {
        return this.states[index] ?? createCounterState();
    }

    update(index: number, change: (state: CounterState) => CounterState): void {
        this.states[index] = change(this.get(index));
    }

    charge(index: number, tokens: number, account = ACCOUNT): void {
        this.update(index, state => chargeAccounts(state, new Map([[account, tokens]])));
    }

    send(child: number, parent: number, loss: Loss = "none", now = 0): void {
        const built = buildCounterReport(this.get(child), `node-${parent}`, now);
        this.states[child] = built.state;
        if (loss === "report") {
            return;
        }
        const self = { instance: `node-${parent}`, incarnation: `${this.incarnations[parent]}` };
        const sender = { instance: `node-${child}`, incarnation: `${this.incarnations[child]}` };
        const receive = (report: CounterReportValues): void =>
            this.update(parent, state =>
                applyCounterReport(state, {
                    ...sender,
                    isAddressed: report.parentIncarnation === self.incarnation,
                    expiresAt: now + 1000,
                }, report));
        receive(built.report);
        if (loss === "repeated") {
            receive(built.report);
        }
        if (loss === "reply") {
            return;
        }
        const reply = buildCounterReply(this.get(parent), self, sender, built.report.waiting.keys());
        this.update(child, state => applyCounterReply(state, reply, true));
    }

    advance(isListedRoot = true): void {
        this.update(0, state => applyRootRole(state, { isListedRoot, collectMs: 0 }, 0));
    }

    reset(index: number): void {
        this.states[index] = createCounterState();
        this.incarnations[index] = (this.incarnations[index] ?? 0) + 1;
    }
}

const losses = fc.constantFrom<Loss>("none", "report", "reply", "repeated");
const steps = fc.array(
    fc.record({
        node: fc.integer({ min: 1, max: 3 }),
        parent: fc.integer({ min: 0, max: 2 }),
        tokens: fc.integer({ min: 0, max: 50 }),
        loss: losses,
    }),
    { maxLength: 60 },
);

function settle(fleet: Fleet): void {
    for (let round = 0; round < 12; round += 1) {
        for (const node of [3, 2, 1]) {
            for (let parent = 0; parent < node; parent += 1) {
                fleet.send(node, parent);
            }
        }
        fleet.advance();
    }
}

function runSteps(
    fleet: Fleet,
    list: readonly { node: number; parent: number; tokens: number; loss: Loss; }[],
): number {
    let charged = 0;
    for (const { node, parent, tokens, loss } of list) {
        fleet.charge(node, tokens);
        charged += tokens;
        fleet.send(node, Math.min(parent, node - 1), loss);
        fleet.advance();
    }
    return charged;
}

test("counts every token once when reports are lost, repeated or sent to another parent", t => {
    fc.assert(
        fc.property(steps, list => {
            const fleet = new Fleet(4);
            const charged = runSteps(fleet, list);
            settle(fleet);
            return (fleet.get(0).totals.get(ACCOUNT) ?? 0) === charged;
        }),
        { seed: SEED },
    );
    t.pass();
});

test("never counts a token twice after an aggregation node restarts", t => {
    fc.assert(
        fc.property(steps, steps, (before, after) => {
            const fleet = new Fleet(4);
            const charged = runSteps(fleet, before);
            fleet.reset(1);
            const total = charged + runSteps(fleet, after);
            settle(fleet);
            return (fleet.get(0).totals.get(ACCOUNT) ?? 0) <= total;
        }),
        { seed: SEED },
    );
    t.pass();
});

test("restores the totals of a restarted root from its children before it adds increments", t => {
    const fleet = new Fleet(2);
    fleet.update(1, state => setWaiting(state, ACCOUNT, 1, 1));
    fleet.charge(1, 100);
    fleet.send(1, 0);
    fleet.send(1, 0);
    fleet.advance();
    fleet.send(1, 0);
    fleet.reset(0);
    fleet.charge(1, 10);
    fleet.send(1, 0);
    fleet.send(1, 0);
    fleet.send(1, 0);
    fleet.advance();
    // The batch of 10 tokens was addressed to the old root. It is dropped, because it may have been counted.
    t.is(fleet.get(0).totals.get(ACCOUNT), 100);
    fleet.charge(1, 5);
    fleet.send(1, 0);
    fleet.advance();
    fleet.send(1, 0);
    t.is(fleet.get(1).totals.get(ACCOUNT), fleet.get(0).totals.get(ACCOUNT));
    t.is(fleet.get(0).totals.get(ACCOUNT), 105);
});

test("keeps the increments of a partitioned node and adds them once after it rejoins", t => {
    const fleet = new Fleet(3);
    fleet.update(1, state => setWaiting(state, ACCOUNT, 1, 1));
    fleet.send(1, 0);
    fleet.charge(1, 40);
    fleet.charge(2, 60);
    fleet.send(2, 1);
    fleet.send(2, 1);
    fleet.update(1, state => applyRootRole(state, { isListedRoot: false, collectMs: 0 }, 0));
    fleet.send(2, 1);
    t.is(computeNormalizedService(fleet.get(2), ACCOUNT, 1), 100);
    t.is(fleet.get(1).totals.get(ACCOUNT) ?? 0, 0);
    fleet.send(1, 0);
    fleet.send(1, 0);
    fleet.advance();
    t.is(fleet.get(0).totals.get(ACCOUNT), 100);
});

test("lifts an account that returns from idleness to the lowest backlogged level", t => {
    for (const raisesBases of [true, false]) {
        let state = chargeAccounts(createCounterState(), new Map([[ACCOUNT, 900], [OTHER, 10]]));
        const lift = (waiting: [number, number][]): CounterState =>
            liftAccounts(state, { waiting: new Map(waiting), getShare: () => 1, raisesBases });
        state = lift([[ACCOUNT, 1]]);
        state = lift([[ACCOUNT, 1], [OTHER, 1]]);
        t.is(computeNormalizedService(state, OTHER, 1), 900);
        state = chargeAccounts(state, new Map([[OTHER, 50]]));
        t.is(computeNormalizedService(state, OTHER, 1), 950);
        t.is(state.lowest, 900);
    }
});

test("ends a local lift when the totals include the service received at other instances", t => {
    let state: CounterState = { ...createCounterState(), lowest: 1000 };
    state = setWaiting(state, ACCOUNT, 3, 1);
    state = chargeAccounts(state, new Map([[ACCOUNT, 20]]));
    t.is(computeNormalizedService(state, ACCOUNT, 1), 1020);
    const reply = {
        instance: "node-0",
        incarnation: "1",
        acknowledgedSequence: 0,
        totals: new Map([[ACCOUNT, 1100]]),
        unsettled: new Map<number, number>(),
        bases: new Map<number, number>(),
        lowest: 1000,
        highest: 1200,
    };
    state = applyCounterReply(state, reply, true);
    t.is(computeNormalizedService(state, ACCOUNT, 1), 1120);
});

test("expires the backlog of an inactive child", t => {
    const fleet = new Fleet(2);
    fleet.update(1, state => setWaiting(state, ACCOUNT, 3, 1));
    fleet.send(1, 0, "none", 0);
    t.is(sumWaiting(fleet.get(0), 999).get(ACCOUNT), 3);
    t.is(sumWaiting(fleet.get(0), 1000).get(ACCOUNT), undefined);
});

test("keeps the sequence of an unlisted child so that a repeated report adds nothing", t => {
    const fleet = new Fleet(2);
    fleet.charge(1, 30);
    fleet.send(1, 0);
    fleet.send(1, 0, "reply");
    fleet.update(0, state => evictChildren(state, new Set(), 60_000));
    fleet.send(1, 0);
    fleet.advance();
    t.is(fleet.get(0).totals.get(ACCOUNT), 30);
    t.is(evictChildren(fleet.get(0), new Set(), 62_000).children.size, 0);
});

test("limits the lag of an account that rejoins so that it does not starve the others", t => {
    const state: CounterState = { ...createCounterState(), highest: 50_000 };
    const view = createFairnessView(state, { getShare: () => 1, maxLag: 8000, remoteLagThreshold: 4000 });
    t.is(view.getNormalizedService("capel"), 42_000);
});
