import test from "ava";
import { CrashDetector } from "../../src/core/routing/crashDetector.js";
import type { ForwardAttempt } from "../../src/router/forwardAttempt.js";
import { recordAttemptSuccess } from "../../src/router/recordAttemptSuccess.js";
import type { ResponseHead } from "../../src/router/responseHead.js";
import { makeCrashSubject } from "../testing/crashes/makeCrashSubject.js";
import { createCrashRecord } from "../testing/createCrashRecord.js";
import { makeRoutedRequest } from "../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";

// A target may reject a request before it runs it, or fail all of them, so that only a success proves anything.
test("takes only a complete success for a proof that a request is harmless", t => {
    for (const [status, isProof] of [[200, true], [201, true], [404, false], [500, false]] as const) {
        const crashRecord = createCrashRecord();
        const crashDetector = CrashDetector.create({
            crashRecord,
            onCrash: () => undefined,
            onBroken: () => undefined,
        });
        const request = makeRoutedRequest(makeCrashSubject("bad"));
        for (const at of [1000, 2000]) {
            const crash = { targetId: `t${at}`, sentAt: at - 100, endedAt: at };
            crashRecord.recordCrash([request.fingerprint?.key ?? ""], crash, at);
        }
        const attempt = {
            status,
            grant: { target: { descriptor: makeTargetDescriptor("t") }, grantedAt: 3000 },
        };
        const head = { isFramed: true } as ResponseHead;
        recordAttemptSuccess(
            { crashDetector, crashRecord },
            request,
            attempt as unknown as ForwardAttempt,
            head,
            3050,
        );
        t.is(crashRecord.isSuspect(request), !isProof, String(status));
    }
});
