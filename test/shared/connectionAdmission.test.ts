import test from "ava";
import { Socket } from "node:net";
import { ConnectionAdmission } from "../../src/shared/connectionAdmission.js";

const HELD_MS = 20;

// A spared request that is counted twice would make its account look large, and a further one on its connection would be free.
test("decides once about the first request of each connection, and about further ones by their accounts", async t => {
    const calls: string[] = [];
    const record = (name: string, result: boolean) => (account: string): boolean => {
        calls.push(`${name} ${account}`);
        return result;
    };
    let mayAccept = true;
    const admission = ConnectionAdmission.create({
        queue: { waitMs: 100 },
        guard: {
            isOverloaded: true,
            mayAccept: () => mayAccept,
            tryRefuse: () => false,
            maySpare: account => record("spare", account === "small")(account),
            countHoldable: () => 1,
            mayServeHeld: record("held", true),
            mayServe: record("further", false),
            recordRequest: account => void record("first", true)(account),
            tryRelay: () => undefined,
            recordRefused: () => undefined,
            recordFailure: () => undefined,
        },
    });
    const accepted = new Socket();
    t.true(admission.mayServe(accepted));
    t.is(admission.getAcceptWaitMs(accepted), 100);
    t.true(admission.recordRequest(accepted, "large"));
    t.is(admission.getAcceptWaitMs(accepted), undefined);
    t.false(admission.recordRequest(accepted, "large"));
    mayAccept = false;
    const refused = new Socket();
    t.false(admission.mayServe(refused));
    t.false(admission.maySpare(refused, "large"));
    const spared = new Socket();
    t.false(admission.mayServe(spared));
    t.true(admission.maySpare(spared, "small"));
    t.is(admission.getAcceptWaitMs(spared), 100);
    t.true(admission.recordRequest(spared, "small"));
    t.false(admission.recordRequest(spared, "small"));
    const held = new Socket();
    t.false(admission.mayServe(held));
    await new Promise(resolve => setTimeout(resolve, HELD_MS));
    t.true(admission.mayServeHeld(held, "large"));
    t.true((admission.getAcceptWaitMs(held) ?? 0) >= 100 + HELD_MS - 1);
    t.true(admission.recordRequest(held, "large"));
    t.deepEqual(calls, [
        "first large",
        "further large",
        "spare large",
        "spare small",
        "further small",
        "held large",
    ]);
});
