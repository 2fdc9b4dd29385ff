import test from "ava";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, readFile, writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { hashText } from "../../src/shared/hashText.js";
import { makeConfiguration } from "../../src/testing/makeConfiguration.js";

interface CliResult {
    readonly code: unknown;
    readonly output: string;
    readonly errors: string;
}

async function runCli(...args: readonly string[]): Promise<CliResult> {
    const module = new URL("../../src/cli/main.js", import.meta.url).pathname;
    const child = spawn(process.execPath, [module, ...args], { stdio: ["ignore", "pipe", "pipe"] });
    const [output, errors, [code]] = await Promise.all([
        text(child.stdout),
        text(child.stderr),
        once(child, "exit"),
    ]);
    return { code, output, errors };
}

async function writeFiles(files: Readonly<Record<string, unknown>>): Promise<string> {
    const directory = await mkdtemp(join(tmpdir(), "baobabspread-"));
    for (const [name, value] of Object.entries(files)) {
        await writeFile(join(directory, name), JSON.stringify(value));
    }
    return directory;
}

async function startOperator(pages: Readonly<Record<string, unknown>>): Promise<string> {
    const server = createServer((incoming, response) => {
        const page = pages[incoming.url ?? ""];
        response.writeHead(page === undefined ? 404 : 200).end(JSON.stringify(page));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    server.unref();
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test("exits with 1 on faults and failures and with 2 on unreadable files and invalid arguments", async t => {
    const directory = await writeFiles({ "set.json": makeConfiguration(), "bad.json": {} });
    const current = join(directory, "set.json");
    const invalid = join(directory, "bad.json");
    const runs: readonly (readonly [number, readonly string[]])[] = [
        [0, ["--help"]],
        [0, ["check", current]],
        [1, ["check", invalid]],
        [2, ["check", join(directory, "missing.json")]],
        [2, ["check"]],
        [2, ["publish", current]],
        [2, ["bundle", current]],
        [2, ["bundle", current, "--revision", "0"]],
        [1, ["bundle", invalid, "--revision", "1"]],
        [2, ["diff", current, invalid]],
        [1, ["entries", "--entry", "127.0.0.1:1"]],
        [2, ["status", "--operator", "nowhere"]],
    ];
    const codes = await Promise.all(runs.map(async ([, args]) => (await runCli(...args)).code));
    t.deepEqual(codes, runs.map(([code]) => code));
});

test("writes a valid bundle with the next revision that differs only where the configuration does", async t => {
    const directory = await writeFiles({
        "set.json": makeConfiguration(),
        "next.json": makeConfiguration({ shares: [{ name: "standard", weight: 2 }] }),
    });
    const [current, next, first, second] = ["set.json", "next.json", "1.json", "2.json"]
        .map(name => join(directory, name)) as [string, string, string, string];
    await runCli("bundle", current, "--revision", "41", "--output", first);
    await runCli("bundle", next, "--previous", first, "--output", second);
    t.is((JSON.parse(await readFile(second, "utf8")) as { revision: number; }).revision, 42);
    t.is((await runCli("check", second)).code, 0);
    t.is((await runCli("diff", first, second)).output, "share standard: weight from 1 to 2\n");
});

// 5,200 accounts and 4,000 targets, the scale expected in two years, exceed 1 MB as plain JSON.
test("compresses a large bundle and reads it like a plain one, and refuses one that the platform cannot hold", async t => {
    const valid = makeConfiguration();
    const digests = Array.from(
        { length: 30_000 },
        (_, index) => hashText(String(index)),
    );
    const large = {
        ...valid,
        clientAccounts: digests.slice(0, 5200).map((digest, index) => ({
            ...valid.clientAccounts[0],
            name: `account-${index}`,
            keyDigests: [digest],
        })),
        targets: Array.from(
            { length: 4000 },
            (_, index) => ({ ...valid.targets[0], name: `engine-${index}` }),
        ),
    };
    const directory = await writeFiles({
        "large.json": large,
        "next.json": { ...large, shares: [{ name: "standard", weight: 2 }] },
        "too-large.json": { ...valid, clientAccounts: [{ ...valid.clientAccounts[0], keyDigests: digests }] },
    });
    const [current, next, tooLarge, first, second] = [
        "large.json",
        "next.json",
        "too-large.json",
        "1.json",
        "2.json",
    ].map(name => join(directory, name)) as [string, string, string, string, string];
    t.is((await runCli("bundle", current, "--revision", "41", "--output", first)).code, 0);
    const published = await readFile(first, "utf8");
    t.true(JSON.stringify(large).length > 1_000_000 && published.length <= 1_000_000);
    t.like(JSON.parse(published), { revision: 41, encoding: "gzip+base64" });
    t.is((await runCli("bundle", next, "--previous", first, "--output", second)).code, 0);
    t.is((await runCli("check", second)).code, 0);
    t.is((await runCli("diff", first, second)).output, "share standard: weight from 1 to 2\n");
    for (const args of [["check", tooLarge], ["bundle", tooLarge, "--revision", "1"]]) {
        const refused = await runCli(...args);
        t.is(refused.code, 1);
        t.regex(refused.output + refused.errors, /^configuration: the bundle has \d+ bytes compressed/m);
    }
});

test("shows in the status why a daemon is not ready, which instances it suspects and its sections", async t => {
    const address = await startOperator({
        "/v1/status": {
            instance: "a",
            dataCentre: "caerdydd-a",
            notReady: ["no-configuration"],
            instanceListRevision: 3,
            instances: [{ name: "b", suspected: true, leaving: false }],
            sections: { targets: [{ name: "engine-0", slots: 8 }] },
        },
    });
    const { code, output } = await runCli("status", "--operator", address, "--details");
    t.is(code, 0);
    t.regex(output, /^a +caerdydd-a +no-configuration +- +- +3 +no +-$/m);
    t.regex(output, /^b {2}suspected at 1 of 1$/m);
    t.regex(output, /^a targets:\nNAME {6}SLOTS\nengine-0 {2}8$/m);
});

test("merges decisions of several daemons by time and names a daemon that does not answer", async t => {
    const [early, late] = [1, 2].map(timeMs => ({ timeMs, kind: "retried", reason: "target-failed" }));
    const path = "/v1/explain/requests/r1";
    const a = await startOperator({ [path]: { instance: "a", decisions: [late] } });
    const b = await startOperator({ [path]: { instance: "b", decisions: [early] } });
    const result = await runCli(
        "explain",
        "r1",
        "--operator",
        a,
        "--operator",
        b,
        "--operator",
        "127.0.0.1:1",
    );
    t.is(result.code, 1);
    t.deepEqual(result.output.trim().split("\n").map(line => line.split(/\s+/)[1]), ["INSTANCE", "b", "a"]);
    t.regex(result.errors, /^127\.0\.0\.1:1 did not answer/);
});
