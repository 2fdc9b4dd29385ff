import type { ExecutionContext } from "ava";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";

interface StartedProcess {
    readonly child: ChildProcess;
    /** Exit code and signal. */
    readonly exited: Promise<readonly [number | null, NodeJS.Signals | null]>;
    /** Standard output so far. */
    readonly getOutput: () => string;
    /** Standard error so far. */
    readonly getErrors: () => string;
}

const END_WITH_PARENT = new URL("../../../src/testing/endWithParent.js", import.meta.url).href;

/** Starts a compiled module as a process of its own, which need not ever listen; it ends with the test. */
export function startProcess(t: ExecutionContext, module: URL, args: readonly string[]): StartedProcess {
    const child = spawn(process.execPath, ["--import", END_WITH_PARENT, fileURLToPath(module), ...args], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    t.teardown(() => child.kill("SIGKILL"));
    let output = "";
    let errors = "";
    child.stdout.on("data", data => output += String(data));
    child.stderr.on("data", data => errors += String(data));
    return {
        child,
        // After "close", all output has been read.
        exited: once(child, "close") as Promise<[number | null, NodeJS.Signals | null]>,
        getOutput: () => output,
        getErrors: () => errors,
    };
}
