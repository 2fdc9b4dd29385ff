import test from "ava";
import { computeLine } from "../../src/measure/capacity/computeLine.js";
import { sumByMethod } from "../../src/measure/capacity/sumByMethod.js";
import { parseMetrics } from "../../src/testing/parseMetrics.js";

// Every figure of docs/CAPACITY.md is extrapolated from such a line.
test("computeLine fits collinear points without a residual", t => {
    t.deepEqual(computeLine([[1, 5], [2, 7], [4, 11]]), { slope: 2, intercept: 3, residual: 0 });
});

test("computeLine returns the root mean square distance as the residual", t => {
    t.deepEqual(computeLine([[0, 1], [0, -1], [2, 1], [2, -1]]), { slope: 0, intercept: 0, residual: 1 });
});

// Counting received bytes as sent would double the traffic.
test("sumByMethod sums only samples that have the given labels", t => {
    const page = [
        "# HELP bytes Bytes.",
        'bytes{method="A",direction="sent"} 3',
        'bytes{method="A",direction="received"} 5',
        'bytes{method="B",direction="sent"} 1e2',
        'other{method="A",direction="sent"} 9',
        'bytes{method="A",direction="sent"} 4',
    ].join("\n");
    const sums = sumByMethod(parseMetrics(page), "bytes", { direction: "sent" });
    t.deepEqual([...sums], [["total", 107], ["A", 7], ["B", 100]]);
});
