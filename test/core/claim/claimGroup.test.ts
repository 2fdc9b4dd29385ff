import test from "ava";
import { computeClaimQuorum } from "../../../src/core/claim/computeClaimQuorum.js";
import { HolderHistory } from "../../../src/core/claim/holderHistory.js";
import { selectClaimGroup } from "../../../src/core/claim/selectClaimGroup.js";
import { makeClusterView } from "../../helpers/makeClusterView.js";

const dataCentres = ["caerdydd-a", "caerdydd-b", "bangor-a"];
const names = Array.from({ length: 12 }, (_, index) => `i${index}@${dataCentres[index % 3] ?? ""}`);
const instances = makeClusterView(names).instances.instances;

test("any two quorums share a holder when their groups differ by up to two members", t => {
    t.deepEqual([0, 1, 2, 3, 4, 5].map(computeClaimQuorum), [0, 1, 2, 3, 4, 4]);
    for (let size = 3; size <= 5; size += 1) {
        t.true(2 * computeClaimQuorum(size) > size + 2);
    }
});

test("replaces at most one holder of a key when an instance is lost", t => {
    for (let key = 0; key < 200; key += 1) {
        const before = selectClaimGroup(`key-${key}`, instances).map(member => member.name);
        for (const lost of instances) {
            const after = selectClaimGroup(`key-${key}`, instances.filter(instance => instance !== lost));
            const kept = after.filter(member => before.includes(member.name)).length;
            t.true(kept >= 4, `key-${key} without ${lost.name}: ${kept} of 5 stay`);
        }
    }
});

test("spreads a group over all data centres", t => {
    for (let key = 0; key < 50; key += 1) {
        const group = selectClaimGroup(`key-${key}`, instances);
        t.is(new Set(group.map(member => member.dataCentre)).size, 3);
        t.is(new Set(group).size, 5);
    }
});

test("finds since when a holder that replaced a lost one has been in the group", t => {
    const [first, ...rest] = selectClaimGroup("key", instances);
    const remaining = instances.filter(instance => instance !== first);
    const joined = selectClaimGroup("key", remaining).find(member => !rest.includes(member));
    const history = HolderHistory.create().addView(instances, 100).addView(remaining, 200)
        .addView(remaining, 300);
    t.is(history.findMemberSince("key", joined?.name ?? "", 0), 200);
    t.is(history.findMemberSince("key", rest[0]?.name ?? "", 0), 100);
    t.is(history.findMemberSince("key", rest[0]?.name ?? "", 250), 200);
    t.is(history.findMemberSince("key", first?.name ?? "", 0), undefined);
});
