import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";

interface CommandResult {
    readonly code: unknown;
    readonly output: string;
    readonly errors: string;
}

const CLI = new URL("../../../src/cli/main.js", import.meta.url).pathname;

/** Runs `baobabspread explain route` for a stream of the test fleet; `key` goes to a file that the command reads. */
export async function runExplainRoute(
    operators: readonly string[],
    { key, args = [] }: { readonly key?: string; readonly args?: readonly string[]; } = {},
): Promise<CommandResult> {
    const keyFile = join(await mkdtemp(join(tmpdir(), "baobabspread-")), "key");
    await writeFile(keyFile, `${key ?? ""}\n`);
    const child = spawn(process.execPath, [
        CLI,
        "explain",
        "route",
        ...["--host", "h", "--path", "/stream/x", "--prompt", "sys:50,own:50", "--tokens", "100,20"],
        ...operators.flatMap(address => ["--operator", address]),
        ...(key === undefined ? [] : ["--key-file", keyFile]),
        ...args,
    ], { stdio: ["ignore", "pipe", "pipe"] });
    const [output, errors, [code]] = await Promise.all([
        text(child.stdout),
        text(child.stderr),
        once(child, "exit") as Promise<unknown[]>,
    ]);
    return { code, output, errors };
}
