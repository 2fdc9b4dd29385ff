import test from "ava";
import { applyLenderEvent } from "../../../src/core/lease/applyLenderEvent.js";
import { computeAssignmentTime } from "../../../src/core/lease/computeAssignmentTime.js";
import { defaultLeaseTimings } from "../../../src/core/lease/defaultLeaseTimings.js";
import type { LenderEvent } from "../../../src/core/lease/lenderEvent.js";
import type { LenderState } from "../../../src/core/lease/lenderState.js";

class LenderDriver {
    state: LenderState = { assignments: [], loan: undefined };

    apply(event: LenderEvent, now: number): string {
        const result = applyLenderEvent(this.state, event, now, defaultLeaseTimings);
        this.state = result.state;
        return result.reply ? `${result.reply.reason} ${result.reply.slots["1"] ?? 0}` : "";
    }

    requestLoan(owner: string, now: number, limit = 4): string {
        return this.apply({ type: "borrow", owner, limits: { 1: limit } }, now);
    }
}

test("lends nothing after a restart until loans from before have expired", t => {
    const lender = new LenderDriver();
    lender.apply({ type: "assign", index: 0, count: 2, from: 100 }, 100);
    t.is(lender.requestLoan("a", 2349), "starting 0");
    t.is(lender.requestLoan("a", 2350), "granted 2");
});

test("lends slots to one owner at a time, until its loan expires or is released", t => {
    const lender = new LenderDriver();
    lender.apply({ type: "assign", index: 0, count: 1, from: 0 }, 0);
    t.is(lender.requestLoan("a", 3000), "granted 4");
    t.is(lender.requestLoan("b", 5249), "lent-to-other 0");
    t.is(lender.requestLoan("b", 5250), "granted 4");
    t.is(lender.apply({ type: "release", owner: "a" }, 5251), "released 0");
    t.is(lender.requestLoan("a", 5252), "lent-to-other 0", "a release by a former owner is ignored");
    lender.apply({ type: "release", owner: "b" }, 5253);
    t.is(lender.requestLoan("a", 5254), "granted 4");
});

test("lends a newly assigned slot only after the previous lender's loan has expired", t => {
    const lender = new LenderDriver();
    lender.apply({ type: "assign", index: 0, count: 2, from: 0 }, 0);
    t.is(lender.requestLoan("a", 3000), "granted 2");
    lender.apply({ type: "assign", index: 0, count: 1, from: 4000 }, 4000);
    t.is(lender.requestLoan("a", 4001), "granted 2", "slots that stay assigned are lent without a pause");
    t.is(lender.requestLoan("a", 6249), "granted 2");
    t.is(lender.requestLoan("a", 6250), "granted 4");
    lender.apply({ type: "assign", index: 0, count: 0, from: 7000 }, 7000);
    t.is(lender.requestLoan("a", 7001), "not-lender 0");
    lender.apply({ type: "assign", index: 0, count: 1, from: 7100 }, 7100);
    t.is(lender.requestLoan("a", 9349), "list-changed 0");
    t.is(lender.requestLoan("a", 9350), "granted 4");
});

test("does not lend a slot while a lender with the older instance list may still lend it", t => {
    const adopt = (lender: LenderDriver, index: number, count: number, adoptedAt: number): void => {
        const from = computeAssignmentTime(
            { startedAt: 0, adoptedAt, isFirst: adoptedAt === 0 },
            defaultLeaseTimings,
        );
        lender.apply({ type: "assign", index, count, from }, adoptedAt);
    };
    const [early, late] = [new LenderDriver(), new LenderDriver()];
    adopt(late, 0, 1, 0);
    const adoptedAt = 10_000;
    adopt(early, 0, 1, adoptedAt);
    const lateAt = adoptedAt + defaultLeaseTimings.viewSkewMs;
    t.is(late.requestLoan("a", lateAt - 1), "granted 4");
    adopt(late, -1, 0, lateAt);
    const endsAt = lateAt - 1 + defaultLeaseTimings.termMs + defaultLeaseTimings.marginMs;
    t.is(early.requestLoan("b", endsAt), "starting 0");
    t.is(early.requestLoan("b", endsAt + 1), "granted 4");
});
