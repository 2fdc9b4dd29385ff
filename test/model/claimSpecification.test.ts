import test from "ava";
import { computeClaimQuorum } from "../../src/core/claim/computeClaimQuorum.js";
import { isVouchable } from "../../src/core/claim/isVouchable.js";
import { checkSpecification } from "../../src/model/checkSpecification.js";
import type { ClaimRules } from "../../src/model/claimRules.js";
import { claimSpecification } from "../../src/model/claimSpecification.js";
import { createClaimSpecification } from "../../src/model/createClaimSpecification.js";

const product: ClaimRules = { computeQuorum: computeClaimQuorum, isVouchable, isFresh: false };
const LIMIT = 1_000_000;
const AT_MOST_ONCE = /^I7/;

function listViolated(specification: typeof claimSpecification): readonly string[] {
    return checkSpecification(specification).violations.map(violation => violation.invariant);
}

test("no order of crashes, losses and view changes runs a claimed request twice", t => {
    const { states, violations } = checkSpecification(claimSpecification);
    t.deepEqual(violations, []);
    t.true(states > 10_000 && states < LIMIT, `${states} states`);
    t.log(`${states} states`);
});

test("the check finds that a plain majority fails when views differ", t => {
    const broken = createClaimSpecification("plain majority", {
        ...product,
        computeQuorum: size => Math.floor(size / 2) + 1,
    }, { viewDifferences: [2], maxCrashes: 0 });
    t.regex(listViolated(broken).join(), AT_MOST_ONCE);
});

test("the check finds that holders must not vouch for keys older than their start", t => {
    const broken = createClaimSpecification("vouching after a restart", {
        ...product,
        isVouchable: facts => isVouchable({ ...facts, startedAtMs: 0 }),
    }, { viewDifferences: [2], maxCrashes: 1 });
    t.regex(listViolated(broken).join(), AT_MOST_ONCE);
});

test("the check finds that holders must not vouch for keys older than their place in the group", t => {
    const broken = createClaimSpecification("vouching after stepping in", {
        ...product,
        isVouchable: facts => isVouchable({ ...facts, memberSinceMs: 0 }),
    }, { viewDifferences: [4], maxCrashes: 0 });
    t.regex(listViolated(broken).join(), AT_MOST_ONCE);
});

test("the check finds that a refusal of a repeated key must not state not-run", t => {
    const broken = createClaimSpecification("repeats taken for first attempts", {
        ...product,
        isFresh: true,
    }, { viewDifferences: [0], maxCrashes: 0 });
    t.regex(listViolated(broken).join(), /^I6/);
});
