import test from "ava";
import { parseRequestLimit } from "../../src/platform/parseRequestLimit.js";

test("reads the request limit of a response", t => {
    t.deepEqual(parseRequestLimit(undefined), { kind: "none" });
    t.deepEqual(parseRequestLimit(["5.25"]), { kind: "named", perSecond: 5.25, reason: undefined });
    t.deepEqual(parseRequestLimit([" 7 "]), { kind: "named", perSecond: 7, reason: undefined });
});

// An unreadable limit that counts as none would leave the target unlimited.
test("takes an unusual limit only with a reason, and never an unreadable one", t => {
    for (
        const text of [
            "",
            " ",
            "-1",
            "abc",
            "NaN",
            "Infinity",
            "1e999",
            "1e3",
            "0x10",
            "5,7",
            "5 7",
            "9".repeat(400),
        ]
    ) {
        t.deepEqual(parseRequestLimit([text]), { kind: "invalid", reason: "unreadable" }, text);
    }
    t.deepEqual(parseRequestLimit(["0"]), { kind: "named", perSecond: 0, reason: "zero" });
    t.deepEqual(parseRequestLimit(["9", "4"]), { kind: "named", perSecond: 4, reason: "repeated" });
    t.deepEqual(parseRequestLimit(["x", "4"]), { kind: "named", perSecond: 4, reason: "repeated" });
    t.deepEqual(parseRequestLimit(["", "x"]), { kind: "invalid", reason: "unreadable" });
});
