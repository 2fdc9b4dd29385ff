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

test("runs a claimed request at most once in any order of crashes, losses and view differences", t => {
    const { states, violations } = checkSpecification(claimSpecification);
    t.deepEqual(violations, []);
    t.true(states > 10_000 && states < LIMIT, `${states} states`);
    t.log(`${states} states`);
});

test("detects a request that runs twice when a plain majority is the quorum and views differ", t => {
    const broken = createClaimSpecification("plain majority", {
        ...product,
        computeQuorum: size => Math.floor(size / 2) + 1,
    }, { viewDifferences: [2], maxCrashes: 0 });
    t.regex(listViolated(broken).join(), AT_MOST_ONCE);
});

test("detects a request that runs twice when holders vouch for keys older than their start", t => {
    const broken = createClaimSpecification("vouching after a restart", {
        ...product,
        isVouchable: facts => isVouchable({ ...facts, startedAtMs: 0 }),
    }, { viewDifferences: [2], maxCrashes: 1 });
    t.regex(listViolated(broken).join(), AT_MOST_ONCE);
});

test("detects a request that runs twice when holders vouch for keys older than their membership in the group", t => {
    const broken = createClaimSpecification("vouching after joining the group", {
        ...product,
        isVouchable: facts => isVouchable({ ...facts, memberSinceMs: 0 }),
    }, { viewDifferences: [4], maxCrashes: 0 });
    t.regex(listViolated(broken).join(), AT_MOST_ONCE);
});

test("detects a false not-run when a repeated key is taken for a first attempt", t => {
    const broken = createClaimSpecification("repeats taken for first attempts", {
        ...product,
        isFresh: true,
    }, { viewDifferences: [0], maxCrashes: 0 });
    t.regex(listViolated(broken).join(), /^I6/);
});
