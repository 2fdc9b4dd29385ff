import test from "ava";
import { parseTargetNotice } from "../../src/platform/parseTargetNotice.js";

const TIME_OF_DAY = Date.parse("Fri, 04 Dec 2026 21:00:00 GMT");

function parse(
    leaving: readonly string[] | undefined,
    retryAfter: readonly string[] | undefined,
    statusCode = 503,
): readonly [boolean, number | undefined, string] {
    const notice = parseTargetNotice({ statusCode, leaving, retryAfter, timeOfDay: TIME_OF_DAY });
    return [notice.isLeaving, notice.pauseMs, notice.unusualHeaders.join()];
}

test("believes that a target leaves only if it says 1, also if it says so twice", t => {
    t.deepEqual(parse(["1"], undefined), [true, undefined, ""]);
    t.deepEqual(parse([" 1 "], undefined, 200), [true, undefined, ""]);
    t.deepEqual(parse(["1", "0"], undefined), [true, undefined, "Server-Leaving"]);
    for (const value of ["0", "true", "", "11", "1.0", "-1"]) {
        t.deepEqual(parse([value], undefined), [false, undefined, "Server-Leaving"], value);
    }
});

test("reads a pause in seconds with fractions or as a date, the longest of several, and only of a 503", t => {
    t.deepEqual(parse(undefined, ["1.5"]), [false, 1500, ""]);
    t.deepEqual(parse(undefined, ["0"]), [false, 0, ""]);
    t.deepEqual(parse(undefined, ["999999999"]), [false, 999_999_999_000, ""]);
    t.deepEqual(parse(undefined, ["Fri, 04 Dec 2026 21:00:03 GMT"]), [false, 3000, ""]);
    t.deepEqual(parse(undefined, ["Fri, 04 Dec 2026 20:00:00 GMT"]), [false, 0, ""]);
    t.deepEqual(parse(undefined, ["1", "3", "2"]), [false, 3000, "Retry-After"]);
    t.deepEqual(parse(undefined, ["-1"]), [false, undefined, "Retry-After"]);
    t.deepEqual(parse(undefined, ["soon", "2"]), [false, 2000, "Retry-After"]);
    t.deepEqual(parse(undefined, ["2"], 500), [false, undefined, ""]);
});
