import { readFileSync } from "node:fs";

const LIMITS_PATH = "/proc/self/limits";

/** Reads how many descriptors the operating system lets this process open; `undefined` if it does not tell. */
export function readDescriptorLimit(): number | undefined {
    try {
        const text = readFileSync(LIMITS_PATH, "utf8");
        const [, limit] = /^Max open files\s+(\d+)/m.exec(text) ?? [];
        return limit === undefined ? undefined : Number(limit);
    }
    catch {
        // Other systems have no such file.
        return undefined;
    }
}
