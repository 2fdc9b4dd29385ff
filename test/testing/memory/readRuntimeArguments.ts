import { readFileSync } from "node:fs";

const DEPLOY_FILE = new URL("../../../../deploy/system.toml", import.meta.url);
const RUN_PATTERN = /^run = "node (.*) \S+\.cjs"$/m;

/** Reads the arguments of Node.js from the deploy file. */
export function readRuntimeArguments(): readonly string[] {
    const [, words] = RUN_PATTERN.exec(readFileSync(DEPLOY_FILE, "utf8")) ?? [];
    if (words === undefined) {
        throw new Error("The deploy file does not run the router with arguments of Node.js.");
    }
    return words.split(" ");
}
