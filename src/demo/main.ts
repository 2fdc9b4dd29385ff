import { v7 as createUuid } from "uuid";
import { AccountLoad } from "../standIns/client/accountLoad.js";
import type { CallResult } from "../standIns/client/callResult.js";
import { createRandom } from "../standIns/client/createRandom.js";
import { EntryDirectory } from "../standIns/client/entryDirectory.js";
import { createTafOptions } from "../testing/createTafOptions.js";
import { Fleet } from "../testing/fleet.js";
import { getAccountKey } from "../testing/getAccountKey.js";
import { waitForOrders } from "../testing/waitForOrders.js";
import { printReport } from "./printReport.js";

const ACCOUNTS: Readonly<Record<string, number>> = {
    "capel-players": 4,
    "eisteddfod-box": 4,
    "gwyl-office": 1,
    "llan-hall": 1,
    "morfa-choir": 1,
    "pontio-desk": 1,
};
const ANSWER = { minTokens: 8, maxTokens: 40 } as const;
const OUT_OF_SERVICE = "bangor-a";
const BEFORE_MS = 2_000;
const OUT_MS = 7_000;
const AFTER_MS = 5_000;

const fleet = await Fleet.create(createTafOptions({
    accounts: ACCOUNTS,
    engineSlots: 8,
    fleet: { engine: { ...ANSWER, tokenIntervalMs: 20, promptMs: 20 } },
}));
process.exitCode = 1;
try {
    await runDemo();
}
finally {
    await fleet.close();
}

async function runDemo(): Promise<void> {
    await waitForOrders(fleet, "capel-players");
    const results: CallResult[] = [];
    const random = createRandom(1);
    const directory = EntryDirectory.create(fleet.entries);
    const pickEntry = async (): Promise<string> => {
        const entries = await directory.listEntries();
        return entries[Math.floor(random() * entries.length)] ?? "";
    };
    const loads = Object.keys(ACCOUNTS).map((account, index) =>
        AccountLoad.create({
            account,
            key: getAccountKey(account),
            concurrency: 4 + 2 * index,
            pickEntry,
            ...ANSWER,
            plainShare: 0.25,
            streamShare: 0.5,
            retriesNotRun: true,
            random,
            record: result => results.push(result),
            createId: createUuid,
        })
    );
    await wait(BEFORE_MS);
    process.stdout.write(`Taking the data centre ${OUT_OF_SERVICE} out of service.\n`);
    await fleet.setInService("dataCentres", OUT_OF_SERVICE, false);
    const outAtMs = Date.now();
    await wait(OUT_MS);
    process.stdout.write(`Returning the data centre ${OUT_OF_SERVICE} to service.\n`);
    await fleet.setInService("dataCentres", OUT_OF_SERVICE, true);
    const backAtMs = Date.now();
    await wait(AFTER_MS);
    await Promise.all(loads.map(load => load.stop()));
    const verified = await printReport({ fleet, results, outAtMs, backAtMs, dataCentre: OUT_OF_SERVICE });
    process.exitCode = verified ? 0 : 1;
}

function wait(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
