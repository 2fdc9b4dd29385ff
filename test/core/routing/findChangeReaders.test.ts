import test from "ava";
import { findChangeReaders } from "../../../src/core/routing/findChangeReaders.js";
import type { MemberRecord } from "../../../src/core/routing/memberRecord.js";
import { pickReaders } from "../../../src/core/routing/pickReaders.js";

const NAMES = Array.from({ length: 8 }, (_, i) => `m${i}`);

function makePeer(name: string): MemberRecord {
    return {
        name,
        dataCentre: "a",
        region: "r",
        ip: `ip-${name}`,
        callerAddress: `${name}:1`,
        incarnation: 1,
        sequence: 1,
        state: "open",
        weight: 1,
    };
}

function find(
    instance: string,
    names: readonly string[],
    maxDelayMs = 4000,
): ReturnType<typeof findChangeReaders> {
    return findChangeReaders(instance, names.filter(name => name !== instance).map(makePeer), maxDelayMs);
}

test("lets one instance of a large data centre read the platform, and relays to the second reader and the rest", t => {
    const [first = "", second = ""] = pickReaders(NAMES);
    t.deepEqual(find(first, NAMES).hosts, []);
    t.deepEqual(find(second, NAMES).hosts, [`ip-${first}`]);
    const others = NAMES.filter(name => name !== first && name !== second);
    others.forEach(name => t.deepEqual(find(name, NAMES).hosts, [`ip-${first}`, `ip-${second}`]));
});

test("lets the second reader leave a stale reader before the others do, so that it has a recent copy for them", t => {
    const [, second = "", ...rest] = pickReaders(NAMES);
    const other = NAMES.find(name => !pickReaders(NAMES).includes(name)) ?? "";
    t.is(rest.length, 0);
    t.true(find(second, NAMES).maxAgeMs < find(other, NAMES).maxAgeMs);
});

test("lets each instance of a small data centre read the platform directly", t => {
    const names = NAMES.slice(0, 3);
    names.forEach(name => t.deepEqual(find(name, names).hosts, []));
});

// Copies of a reader that was cut off from the store were used for 3.4 s and one more poll, longer than the 4 s within
// which a target that leaves must get no more requests.
test("uses no relayed copy for longer than a change may take, whatever the bound", t => {
    const LONG_POLL_MS = 700;
    for (const maxDelayMs of [1000, 2500, 4000, 5000, 10_000]) {
        for (const name of NAMES) {
            const { hosts, maxAgeMs } = find(name, NAMES, maxDelayMs);
            t.true(hosts.length === 0 || maxAgeMs + LONG_POLL_MS < maxDelayMs, `${name} ${maxDelayMs}`);
        }
    }
});
