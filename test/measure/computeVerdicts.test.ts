import test from "ava";
import { computeVerdicts } from "../../src/measure/faultTrial/computeVerdicts.js";
import type { CallResult } from "../../src/standIns/client/callResult.js";
import type { Arrival } from "../../src/standIns/target/arrival.js";

function makeResult(marker: string, change: Partial<CallResult>): CallResult {
    return {
        account: "a",
        service: "order-book",
        marker,
        idempotencyKey: marker,
        verdict: "refused",
        status: 503,
        outcome: undefined,
        code: undefined,
        entry: "e:1",
        requestId: undefined,
        tokens: 0,
        startMs: 100,
        firstTokenMs: undefined,
        endMs: 200,
        correct: change.verdict === "verified",
        ...change,
    };
}

function makeArrival(marker: string, ending: Arrival["ending"]): Arrival {
    return {
        requestId: "",
        idempotencyKey: "",
        account: "a",
        marker,
        startMs: 0,
        endMs: 1,
        tokens: 1,
        ending,
    };
}

test("computeVerdicts counts each kind of false report to a caller and no true one", t => {
    const verdicts = computeVerdicts(
        [
            makeResult("fine", { verdict: "verified" }),
            makeResult("never-arrived", { verdict: "verified" }),
            makeResult("true-refusal", { outcome: "not-run" }),
            makeResult("false-refusal", { outcome: "not-run" }),
            makeResult("false-unreachable", { verdict: "unreachable" }),
            makeResult("twice", { outcome: "unknown" }),
            makeResult("cut", { verdict: "incomplete", entry: "e:2" }),
            makeResult("cut-before", { verdict: "incomplete", entry: "e:2", endMs: 140, startMs: 130 }),
            makeResult("crossed", { verdict: "wrong" }),
        ],
        2,
        [
            makeArrival("fine", "completed"),
            makeArrival("true-refusal", "refused"),
            makeArrival("false-refusal", "reset"),
            makeArrival("false-unreachable", "cancelled"),
            makeArrival("twice", "completed"),
            makeArrival("twice", "cancelled"),
        ],
        [{ entry: "e:2", fromMs: 150, toMs: 250, exitCode: 0 }],
    );
    t.deepEqual(verdicts, {
        requests: 11,
        wrongAnswers: 1,
        doubled: 1,
        lost: 3,
        falseRefusals: 2,
        unknown: 3,
        cutByPlannedStop: 1,
    });
});
