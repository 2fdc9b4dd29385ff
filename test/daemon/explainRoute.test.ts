import test from "ava";
import type { RouteExplanation } from "../../src/core/explain/route/routeExplanation.js";
import { createTafOptions } from "../../src/testing/createTafOptions.js";
import { Fleet } from "../../src/testing/fleet.js";
import { getAccountKey } from "../../src/testing/getAccountKey.js";
import { waitForOrders } from "../../src/testing/waitForOrders.js";
import { daemonProcess } from "../testing/daemonProcess.js";
import { runExplainRoute } from "../testing/explain/runExplainRoute.js";

// Guards against a starting daemon that is taken for one that refuses the request for good.
test("says that a daemon without a configuration is not ready", async t => {
    const { operatorAddress, getErrors } = await daemonProcess.run(t);
    const { code, output, errors } = await runExplainRoute([operatorAddress], { key: "key-of-nobody" });
    t.is(code, 1);
    t.regex(output, /not ready \(no-configuration, no-instance-list\)/);
    t.regex(output, /outcome: status 503, refusal \(not-configured\)/);
    t.regex(errors, /daemon-0 is not ready: no-configuration/);
    t.false([output, errors, getErrors()].join().includes("key-of-nobody"));
});

test("explains requests to daemons, and names unknown accounts, keys, services and paths", async t => {
    const fleet = await Fleet.create(createTafOptions({
        accounts: { "capel": 1 },
        instances: 2,
        engines: 2,
        engineSlots: 2,
        plainServers: 1,
        fleet: { engine: { minTokens: 4, maxTokens: 40 } },
    }));
    t.teardown(() => fleet.close());
    await waitForOrders(fleet, "capel");
    const operators = fleet.daemons.map(name => fleet.getDaemon(name).listening["operatorAddress"] ?? "");
    const key = getAccountKey("capel");
    const plain = ["--path", "/services/order-book/orders"];
    const explained = await runExplainRoute(operators, { key, args: [...plain, "--json"] });
    t.is(explained.code, 0, explained.errors);
    const { answers } = JSON.parse(explained.output) as { answers: { value: RouteExplanation; }[]; };
    for (const { value: { account, services: [service] } } of answers) {
        t.is(account, "capel");
        t.true(service?.outcome.kind === "grant" || service?.outcome.kind === "wait");
        t.is((service?.candidates.length ?? 0) + (service?.leftOut.length ?? 0), 1);
    }
    // Guards against explained requests that count, or that are kept in a queue.
    t.is(await fleet.readMetric(fleet.daemons[0] ?? "", "waiting_requests"), 0);
    const table = await runExplainRoute(operators, {
        args: ["--path", "/v1/chat/completions", "--model", "model-desk", "--account", "capel"],
    });
    t.is(table.code, 0, table.errors);
    t.regex(table.output, /route: name=model-desk kind=model/);
    const unknown = await Promise.all([
        runExplainRoute(operators, { key: "key-of-nobody", args: plain }),
        runExplainRoute(operators, { args: [...plain, "--account", "nobody"] }),
        runExplainRoute(operators, { key, args: ["--path", "/nowhere"] }),
        runExplainRoute(operators, { key, args: ["--path", "/services/none/x"] }),
    ]);
    t.deepEqual(unknown.map(({ code }) => code), [2, 2, 2, 2]);
    const shown = [explained, table, ...unknown].map(({ output, errors }) => output + errors).join();
    t.false(shown.includes(key) || shown.includes("key-of-nobody"));
});

// Guards against bad input that is sent to instances, and against keys in messages.
test("names bad options and exits with code 2 before anything is sent", async t => {
    const runs: readonly (readonly [RegExp, readonly string[], string?])[] = [
        [/must be host:port/, [], "nowhere"],
        [/path: must begin with a slash/, ["--path", "x"]],
        [/--tokens: must be IN,OUT/, ["--tokens", "5"]],
        [/promptTokens: /, ["--tokens", "x,5"]],
        [/prompt\.1\.tokens: /, ["--prompt", "a:1,b"]],
        [/--key-file: /, ["--key-file", "/nowhere/key"]],
        [/account and key exclude each other/, ["--account", "a"]],
    ];
    const results = await Promise.all(
        runs.map(([, args, operator = "127.0.0.1:1"]) =>
            runExplainRoute([operator], { key: "key-of-nobody", args })
        ),
    );
    results.forEach(({ code, output, errors }, i) => {
        t.deepEqual([code, output], [2, ""], errors);
        t.regex(errors, runs[i]?.[0] ?? /^$/);
        t.false(errors.includes("key-of-nobody"));
    });
});
