import test from "ava";
import { AdmissionPressure } from "../../../src/core/admission/admissionPressure.js";
import { AccountShares } from "../../../src/core/routing/accountShares.js";
import { AccountUsage } from "../../../src/core/routing/accountUsage.js";

const WINDOW_MS = 4000;
const STEP_MS = 50;
const MS_PER_SECOND = 1000;
/** Rate that the configuration states, in tokens a second. */
const STATED = 100_000;

interface Account {
    readonly name: string;
    /** Tokens a second. */
    readonly demand: number;
}

/** One instance whose targets finish `capacity` tokens a second; accounts with less usage come first, as in `sortWaiting`. */
function createInstance(): {
    readonly pressure: AdmissionPressure;
    readonly usage: AccountUsage;
    readonly shares: AccountShares;
    run: (
        accounts: readonly Account[],
        capacity: number,
        from: number,
        until: number,
    ) => Record<string, number>;
} {
    const usage = AccountUsage.create(WINDOW_MS);
    const pressure = AdmissionPressure.create();
    const shares = AccountShares.create({
        usage,
        pressure,
        isWorkConserving: () => true,
        getTokensPerSecond: () => STATED,
    });
    return {
        usage,
        pressure,
        shares,
        run: (accounts, capacity, from, until) => {
            const granted: Record<string, number> = {};
            for (let now = from; now < until; now += STEP_MS) {
                let left = capacity * STEP_MS / MS_PER_SECOND;
                const order = [...accounts].sort((a, b) =>
                    usage.getGranted(a.name, now) - usage.getGranted(b.name, now)
                );
                for (const { name, demand } of order) {
                    const asked = demand * STEP_MS / MS_PER_SECOND;
                    usage.addDemand(name, asked, now);
                    const { kind } = shares.getStatus(name, now);
                    const taken = kind === "excluded" ? 0 : Math.min(asked, left);
                    left -= taken;
                    usage.addGranted(name, taken, now);
                    granted[name] = (granted[name] ?? 0) + taken;
                    if (taken < asked && kind !== "excluded") {
                        shares.recordRefusal(name, asked - taken, now);
                    }
                }
            }
            return granted;
        },
    };
}

// Accounts over their share were refused while the targets had two thirds of their slots free.
test("one loud account: gets what nobody else wants, however far it is over its share", t => {
    const { run, shares } = createInstance();
    const accounts = [{ name: "loud", demand: 300_000 }, { name: "small", demand: 5000 }];
    const granted = run(accounts, 400_000, 0, 8000);
    t.is(shares.getStatus("loud", 8000).kind, "surplus");
    t.true((granted["loud"] ?? 0) > 0.99 * 300_000 * 8, String(granted["loud"]));
});

// Yielding to unmet demand must neither starve a small account nor leave the targets idle.
test("several loud accounts: a small one gets what it asks for, and the targets stay busy", t => {
    const { run } = createInstance();
    const loud = ["l1", "l2", "l3"].map(name => ({ name, demand: 200_000 }));
    run([...loud, { name: "small", demand: 20_000 }], STATED, 0, 4000);
    const granted = run([...loud, { name: "small", demand: 20_000 }], STATED, 4000, 12_000);
    t.true((granted["small"] ?? 0) > 0.9 * 20_000 * 8, JSON.stringify(granted));
    const total = Object.values(granted).reduce((sum, tokens) => sum + tokens, 0);
    t.true(total > 0.9 * STATED * 8, JSON.stringify(granted));
});

// A restriction that outlives its cause leaves the targets idle.
test("a loud account that stops: the others are not restricted a second later", t => {
    const { run, shares } = createInstance();
    const loud = { name: "loud", demand: 500_000 };
    const other = { name: "other", demand: 90_000 };
    run([loud, other], STATED, 0, 6000);
    run([other], STATED, 6000, 7000);
    t.true(["within", "surplus"].includes(shares.getStatus("other", 7000).kind));
});

// With a share by the stated rate, all accounts are within it while the targets finish a quarter, so that nobody yields.
test("all loud at once on slow targets: the share follows what the targets finish", t => {
    const { run, shares } = createInstance();
    const accounts = ["a", "b", "c", "d"].map(name => ({ name, demand: 34_000 }));
    const granted = run(accounts, STATED / 4, 0, 20_000);
    const amounts = Object.values(granted);
    t.true(Math.min(...amounts) > 0.5 * Math.max(...amounts), JSON.stringify(granted));
    // The share by the stated rate is infinite, as that covers the demand.
    t.true(shares.getStatus("a", 20_000).shareRatio > 0.5);
});

// An instance without callers of the accounts that lack capacity does not see them.
test("demand that is unmet elsewhere restricts accounts over their share here, until its report has expired", t => {
    const { run, usage, shares, pressure } = createInstance();
    run([{ name: "loud", demand: 200_000 }], 400_000, 0, 4000);
    const asked = { asked: 4 * STATED, granted: 0 };
    usage.setRemoteUsage("b", { tokens: new Map([["other", asked]]), validUntil: 10_000 });
    pressure.setReported("data centre b", STATED, 4600);
    t.true(["over", "excluded"].includes(shares.getStatus("loud", 4100).kind));
    t.is(shares.getStatus("loud", 4700).kind, "surplus");
});

// An instance that has gone keeps nobody restricted, whatever it reported last.
test("a report of no unmet demand replaces the one before", t => {
    const { pressure } = createInstance();
    pressure.setReported("a", 1000, 10_000);
    pressure.setReported("a", 0, 10_000);
    t.is(pressure.sumUnmet(0), 0);
});

// Instances that are replaced by others with new names would be kept until the process ends.
test("a report of unmet demand is dropped once it has expired", t => {
    const { pressure } = createInstance();
    for (let i = 0; i < 100; i += 1) {
        pressure.setReported(`instance ${i}`, 1000, i);
    }
    t.is(pressure.sumUnmet(98), 2000);
    t.is(pressure.reportCount, 2);
});

// An account far beyond its share would keep asking an instance that has just refused requests.
test("an account beyond 1.8 shares is excluded for half a second after a refusal at this instance", t => {
    const { usage, shares } = createInstance();
    usage.addDemand("loud", 40 * STATED, 0);
    usage.addGranted("loud", 20 * STATED, 0);
    t.is(shares.getStatus("loud", 10).kind, "surplus");
    shares.recordRefusal("loud", 1000, 20);
    t.is(shares.getStatus("loud", 500).kind, "excluded");
    t.is(shares.getStatus("loud", 600).kind, "surplus");
});
