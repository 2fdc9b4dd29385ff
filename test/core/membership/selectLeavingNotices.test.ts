import test from "ava";
import { listLeavingInstances } from "../../../src/core/membership/listLeavingInstances.js";
import { selectLeavingNotices } from "../../../src/core/membership/selectLeavingNotices.js";

const notices = [{ instance: "a", incarnation: "1", peerAddress: "10.0.0.1:9000", deadline: 100 }];

function makeList(peerAddress: string, state: "live" | "leaving" = "live") {
    const instance = {
        name: "a",
        dataCentre: "x",
        callerAddress: "",
        operatorAddress: "",
        peerAddress,
        state,
    };
    return { revision: 1, instances: [instance] };
}

test("ends a notice at its deadline, after an address change or when the instance is no longer listed", t => {
    t.is(selectLeavingNotices(notices, makeList("10.0.0.1:9000"), 99).length, 1);
    t.is(selectLeavingNotices(notices, makeList("10.0.0.1:9000"), 100).length, 0);
    t.is(selectLeavingNotices(notices, makeList("10.0.0.1:9001"), 0).length, 0);
    t.is(selectLeavingNotices(notices, { revision: 2, instances: [] }, 0).length, 0);
});

test("counts an instance as leaving if it is listed as leaving or announced it", t => {
    t.deepEqual([...listLeavingInstances([], makeList("", "leaving"))], ["a"]);
    t.deepEqual([...listLeavingInstances(notices, makeList("10.0.0.1:9000"))], ["a"]);
    t.deepEqual([...listLeavingInstances([], makeList(""))], []);
});
