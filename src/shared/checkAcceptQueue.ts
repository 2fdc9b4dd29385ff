import { readFile } from "node:fs/promises";

const LIMIT_PATH = "/proc/sys/net/core/somaxconn";

/** Logs it if the operating system caps the accept queue to less than was asked for: it does so without an error. */
export async function checkAcceptQueue(
    backlog: number,
    log: { readonly write: (event: string, fields: object) => void; },
): Promise<void> {
    // Other systems have no such file.
    const text = await readFile(LIMIT_PATH, "utf8").catch(() => "");
    const limit = Number.parseInt(text, 10);
    if (limit < backlog) {
        log.write("accept-queue-capped", { backlog, limit });
    }
}
