import test from "ava";
import type { RequestLimiter } from "../../src/core/limits/requestLimiter.js";
import type { TargetGrant } from "../../src/core/routing/targetGrant.js";
import { findAnswerKind } from "../../src/router/findAnswerKind.js";
import { recordStatements } from "../../src/router/recordStatements.js";
import type { ResponseHead } from "../../src/router/responseHead.js";
import { createTargetNotices } from "../testing/createTargetNotices.js";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";

const HEAD: ResponseHead = {
    requestId: undefined,
    isNotExecuted: false,
    isMisdirected: false,
    isFramed: true,
    contentType: undefined,
    isSigned: false,
    requestLimit: { kind: "none" },
    notice: { isLeaving: false, pauseMs: undefined, unusualHeaders: [] },
    load: undefined,
    forwardedHeaders: [],
};

test("a refusal without an identifier is certain on a connection that has carried no other request only", t => {
    for (const refusal of [{ ...HEAD, isNotExecuted: true }, { ...HEAD, isMisdirected: true }]) {
        t.is(findAnswerKind(refusal, "r", true), "refusal");
        t.is(findAnswerKind(refusal, "r", false), "doubtful-refusal");
        t.is(findAnswerKind({ ...refusal, requestId: "r" }, "r", false), "refusal");
        t.is(findAnswerKind({ ...refusal, requestId: "other" }, "r", true), "mismatched");
    }
    t.is(findAnswerKind(HEAD, "r", true), "mismatched");
    t.is(findAnswerKind({ ...HEAD, requestId: "r" }, "r", false), "answer");
});

// A refusal with status 200 is no success; it may also be meant for another request.
test("a refusal lifts no request limit, whatever its status", t => {
    let lifted = 0;
    const records = {
        grant: {
            target: { descriptor: makeTargetDescriptor("t"), recordLoad: () => undefined },
            grantedAt: 0,
        } as unknown as TargetGrant,
        limits: { observe: () => (lifted += 1) } as unknown as RequestLimiter,
        notices: createTargetNotices(),
        getNow: () => 0,
    };
    recordStatements(records, { ...HEAD, isNotExecuted: true }, 200);
    t.is(lifted, 0);
    recordStatements(records, { ...HEAD, requestId: "r" }, 200);
    t.is(lifted, 1);
});
