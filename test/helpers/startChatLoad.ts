import { AccountLoad } from "../../src/standIns/client/accountLoad.js";
import type { CallResult } from "../../src/standIns/client/callResult.js";
import { createRandom } from "../../src/standIns/client/createRandom.js";
import { getAccountKey } from "../../src/testing/getAccountKey.js";

interface ChatLoadOptions {
    readonly account: string;
    readonly concurrency: number;
    readonly listEntries: () => Promise<readonly string[]>;
    readonly minTokens: number;
    readonly maxTokens: number;
}

interface ChatLoad {
    readonly results: readonly CallResult[];
    /** Stops starting calls and waits for those in flight. */
    readonly stop: () => Promise<void>;
}

/** Starts closed-loop callers of one account that send streamed and unstreamed chat requests without retries. */
export function startChatLoad(options: ChatLoadOptions): ChatLoad {
    const results: CallResult[] = [];
    const random = createRandom(7);
    let count = 0;
    const load = AccountLoad.create({
        ...options,
        key: getAccountKey(options.account),
        plainShare: 0,
        streamShare: 0.5,
        random,
        pickEntry: async () => {
            const entries = await options.listEntries();
            return entries[Math.floor(random() * entries.length)] ?? "";
        },
        record: result => results.push(result),
        createId: () => `load-${count += 1}`,
    });
    return { results, stop: () => load.stop() };
}
