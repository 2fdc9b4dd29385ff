import test from "ava";
import { computeLine } from "../../src/measure/capacity/computeLine.js";
import { sumByMethod } from "../../src/measure/capacity/sumByMethod.js";
import { parseMetrics } from "../../src/testing/parseMetrics.js";

// A wrong line would put every figure of docs/CAPACITY.md wrong.
test("the line through exact points has no residual", t => {
    t.deepEqual(computeLine([[1, 5], [2, 7], [4, 11]]), { slope: 2, intercept: 3, residual: 0 });
});

test("the residual is the root mean square distance from the line", t => {
    t.deepEqual(computeLine([[0, 1], [0, -1], [2, 1], [2, -1]]), { slope: 0, intercept: 0, residual: 1 });
});

// Received bytes counted as sent would double the traffic.
test("bytes are summed by method for one direction", t => {
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
