import test, { registerCompletionHandler } from "ava";
import { createServer } from "node:net";
import type { RouteExplanation } from "../../src/core/explain/route/routeExplanation.js";
import { sendCaller } from "../../src/testing/sendCaller.js";
import { runExplainRoute } from "../testing/explain/runExplainRoute.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const METRICS_PORT = 9464;

/** Lines of metrics that change with each request of a caller. */
function selectRequestCounts(metrics: string): readonly string[] {
    return metrics.split("\n").filter(line => /requests_ended|requests_refused|duration_ms/.test(line));
}

// Fleets of one file share the hosts, and each host has one metrics port.
test.serial("explains a request to two routers, which serve none and show no key", async t => {
    const lines: string[] = [];
    const fleet = await createRouterFleet(t, { instances: 2, onLogLine: (_host, line) => lines.push(line) });
    const operators = fleet.instances.map(({ host }) => `${host}:${METRICS_PORT}`);
    const readMetrics = (): Promise<string> =>
        sendCaller(`http://${operators[0]}/metrics`, { method: "GET", headers: {} }).then(({ body }) => body);
    const before = selectRequestCounts(await readMetrics());

    const table = await runExplainRoute(operators, { key: fleet.key });
    t.is(table.code, 0, table.errors);
    t.regex(table.output, /route: name=stream .*\n {2}account: account\n/);
    t.regex(table.output, /share: status=within ratio=0\n/);
    t.regex(table.output, /outcome: grant of \S+, stays in its data centre\n/);
    t.regex(
        table.output,
        /CANDIDATE +DATA CENTRE +REGION +POSSIBLE +SCORE +expectedMs +networkMs +failureMs +cacheMs/,
    );

    // Guards against a name that leads to another account than its key does.
    const json = await runExplainRoute(operators, { args: ["--account", "account", "--json"] });
    const { answers } = JSON.parse(json.output) as { answers: { value: RouteExplanation; }[]; };
    t.deepEqual(answers.map(({ value }) => value.services[0]?.outcome.kind), ["grant", "grant"]);
    t.is(answers[0]?.value.services[0]?.candidates.length, 2);

    // Guards against explanations that count as requests of callers.
    const metrics = await readMetrics();
    t.deepEqual(selectRequestCounts(metrics), before);
    t.regex(metrics, /baobabspread_route_explanations_total\{result="grant"\} 2\n/);

    const unknownKey = await runExplainRoute(operators, { key: "key-of-nobody" });
    t.is(unknownKey.code, 2);
    t.regex(unknownKey.errors, /no account has this key/);
    const unknownRoute = await runExplainRoute(operators, { key: fleet.key, args: ["--path", "/nowhere"] });
    t.deepEqual([unknownRoute.code, unknownRoute.output.includes("refusal (no-route)")], [2, true]);
    t.is((await runExplainRoute(operators, { args: ["--account", "nobody"] })).code, 2);

    const shown = [table, json, unknownKey, unknownRoute].map(({ output, errors }) => output + errors);
    t.deepEqual([...shown, ...lines, metrics].filter(text => /key-of/.test(text)), []);
    t.true(lines.some(line => line.includes('"route-explained"') && line.includes('"account"')));
});

// Guards against one silent instance that keeps the command from the answers of the others, or from its end.
test.serial("names the instances that do not answer, and shows the answers of the others", async t => {
    const fleet = await createRouterFleet(t);
    const silent = createServer(socket => socket.resume());
    await new Promise<void>(resolve => silent.listen(0, "127.0.0.1", resolve));
    const { port } = silent.address() as { port: number; };
    const operators = [`${fleet.instances[0]?.host}:${METRICS_PORT}`, `127.0.0.1:${port}`, "127.0.0.1:1"];
    const startedAt = performance.now();
    const { code, output, errors } = await runExplainRoute(operators, { key: fleet.key });
    t.is(code, 1);
    t.regex(output, /outcome: grant/);
    t.regex(errors, new RegExp(`^127.0.0.1:${port} did not answer: .*\n127.0.0.1:1 did not answer: .*\n$`));
    t.true(performance.now() - startedAt < 20_000);
});
