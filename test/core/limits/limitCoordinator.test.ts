import test from "ava";
import { LimitCoordinator } from "../../../src/core/limits/limitCoordinator.js";
import type { LimitReport } from "../../../src/core/limits/limitReport.js";
import type { PermitGrant } from "../../../src/core/limits/permitGrant.js";

const TARGETS = [{ id: "t", service: "s", perSecond: 10 }];
const TICK_MS = 150;

function makeReport(fields: Partial<LimitReport> = {}): LimitReport {
    return { news: [], demands: [["s", 1, 0]], coordinator: "self", memberCount: 1, ...fields };
}

/** Sums the permits of each recipient while the coordinator divides them for ten seconds. */
function runCoordinator(
    coordinator: LimitCoordinator,
    own: LimitReport,
    onTick: (now: number) => void = () => undefined,
): Readonly<Record<string, number>> {
    const totals: Record<string, number> = {};
    for (let now = 0; now <= 10_000; now += TICK_MS) {
        onTick(now);
        for (
            const { recipient, permits } of coordinator.advance({
                targets: TARGETS,
                own,
                now,
            })
        ) {
            totals[recipient] = (totals[recipient] ?? 0) + sumPermits(permits);
        }
    }
    return totals;
}

function sumPermits(permits: PermitGrant["permits"]): number {
    return permits.reduce((sum, [, count]) => sum + count, 0);
}

test("hands out the whole limit in proportion to demand, and nothing to those that want nothing", t => {
    const coordinator = LimitCoordinator.create("self");
    const totals = runCoordinator(
        coordinator,
        makeReport({ memberCount: 3, demands: [["s", 20, 0]] }),
        now => {
            coordinator.setMember("b", makeReport({ memberCount: 3, demands: [["s", 60, 0]] }), now);
            coordinator.setMember("c", makeReport({ memberCount: 3, demands: [] }), now);
        },
    );
    t.true(Math.abs((totals["self"] ?? 0) - 25) <= 2, JSON.stringify(totals));
    t.true(Math.abs((totals["b"] ?? 0) - 74) <= 2, JSON.stringify(totals));
    t.is(totals["c"], undefined);
});

test("hands out only the parts of those that back it, of as many instances as any of them knows", t => {
    const coordinator = LimitCoordinator.create("self");
    const totals = runCoordinator(coordinator, makeReport({ memberCount: 2 }), now => {
        coordinator.setMember("b", makeReport({ memberCount: 5 }), now);
        coordinator.setMember("c", makeReport({ coordinator: "other", memberCount: 9 }), now);
        coordinator.setMember("d", makeReport({ coordinator: undefined, memberCount: 9 }), now);
    });
    const sum = Object.values(totals).reduce((a, b) => a + b, 0);
    t.true(sum >= 38 && sum <= 41, JSON.stringify(totals));
});

test("stops handing out the part of an instance from which it hears nothing more", t => {
    const coordinator = LimitCoordinator.create("self");
    coordinator.setMember("b", makeReport({ memberCount: 4 }), 0);
    const own = makeReport({ memberCount: 4 });
    const total = Object.values(runCoordinator(coordinator, own)).reduce((a, b) => a + b, 0);
    t.true(total <= 27, String(total));
});

test("does not catch up after the process was suspended", t => {
    const coordinator = LimitCoordinator.create("self");
    coordinator.advance({ targets: TARGETS, own: makeReport(), now: 0 });
    const [grant] = coordinator.advance({
        targets: TARGETS,
        own: makeReport(),
        now: 60_000,
    });
    t.true(sumPermits(grant?.permits ?? []) <= 4);
});

test("hands what its own data centre does not want to others that refuse requests", t => {
    const coordinator = LimitCoordinator.create("self");
    const report = (perSecond: number): ReturnType<typeof runCoordinator> =>
        runCoordinator(coordinator, makeReport({ demands: [["s", perSecond, 0]] }), now => {
            coordinator.setRemote("remote", makeReport({ demands: [["s", 50, 30]] }), now);
            coordinator.setRemote("content", makeReport({ demands: [["s", 50, 0]] }), now);
        });
    const idle = report(2);
    t.true((idle["remote"] ?? 0) >= 65 && (idle["self"] ?? 0) >= 18, JSON.stringify(idle));
    t.true((idle["content"] ?? 0) === 0);
    t.is(report(20)["remote"], undefined);
});
