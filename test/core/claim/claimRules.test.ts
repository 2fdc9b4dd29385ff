import test from "ava";
import { v7 as createUuid } from "uuid";
import { applyClaimEvent } from "../../../src/core/claim/applyClaimEvent.js";
import { isVouchable } from "../../../src/core/claim/isVouchable.js";
import { parseKeyTime } from "../../../src/core/claim/parseKeyTime.js";

const facts = { keyTimeMs: 100_000, startedAtMs: 0, memberSinceMs: 0, nowMs: 100_000 };
const claimBy = (attempt: string) => ({ kind: "claim", attempt, isHolder: true, isVouchable: true }) as const;

test("parses a creation time only from a UUID version 7", t => {
    t.is(parseKeyTime(createUuid({ msecs: 1_700_000_000_123 })), 1_700_000_000_123);
    t.is(parseKeyTime("6ba7b810-9dad-11d1-80b4-00c04fd430c8"), undefined);
    t.is(parseKeyTime("order-17"), undefined);
});

test("vouches only for keys whose earlier claims the holder is certain to know", t => {
    t.true(isVouchable(facts));
    t.false(isVouchable({ ...facts, keyTimeMs: undefined }));
    t.false(isVouchable({ ...facts, startedAtMs: 99_000 }), "started within the clock margin");
    t.false(isVouchable({ ...facts, memberSinceMs: 99_500 }), "joined the group later");
    t.false(isVouchable({ ...facts, nowMs: 98_000 }), "key with a time in the future");
    t.false(isVouchable({ ...facts, nowMs: 100_000 + 86_400_000 }), "past the retention period");
});

test("grants a key to one attempt, and to another only after that one released it", t => {
    const { claim, verdict } = applyClaimEvent(undefined, claimBy("a"));
    t.is(verdict, "granted");
    t.is(applyClaimEvent(claim, claimBy("a")).verdict, "granted");
    t.is(applyClaimEvent(claim, claimBy("b")).verdict, "claimed");
    const foreign = applyClaimEvent(claim, { kind: "settle", attempt: "b", result: "released" });
    t.deepEqual(foreign.claim, claim);
    t.is(applyClaimEvent(claim, { kind: "settle", attempt: "a", result: "released" }).claim, undefined);
    const run = applyClaimEvent(claim, { kind: "settle", attempt: "a", result: "run" }).claim;
    t.is(applyClaimEvent(run, claimBy("a")).verdict, "run");
    t.deepEqual(applyClaimEvent(run, { kind: "settle", attempt: "a", result: "released" }).claim, run);
});

test("keeps a key blocked after a handover of a claim by another attempt", t => {
    const own = { attempt: "a", state: "claimed" } as const;
    const received = { attempt: "b", state: "claimed" } as const;
    const merged = applyClaimEvent(own, { kind: "adopt", claim: received }).claim;
    for (const attempt of ["a", "b"]) {
        const after = applyClaimEvent(merged, { kind: "settle", attempt, result: "released" }).claim;
        t.is(applyClaimEvent(after, claimBy("c")).verdict, "claimed");
    }
    const run = applyClaimEvent(own, { kind: "adopt", claim: { attempt: "a", state: "run" } }).claim;
    t.is(run?.state, "run");
    t.is(applyClaimEvent(run, { kind: "adopt", claim: received }).claim?.state, "run");
});
