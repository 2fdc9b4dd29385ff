import test from "ava";
import { Accounting } from "../../../src/daemon/actors/accounting.js";
import type { CounterReport__Output } from "../../../src/transport/generated/baobabspread/peer/CounterReport.js";
import { PeerCallError } from "../../../src/transport/peerCallError.js";
import { makeContext } from "../../testing/makeContext.js";
import { makeDispatchInputs } from "../../testing/makeDispatchInputs.js";
import { waitFor } from "../../testing/waitFor.js";

const NAMES = ["daemon-0", "daemon-1", "daemon-2", "daemon-3", "daemon-4", "daemon-5", "daemon-6"];

interface Link {
    isCut: boolean;
}

function startFleet(link: Link): ReadonlyMap<string, Accounting> {
    const fleet = new Map<string, Accounting>();
    const observed = new Set<string>();
    for (const instance of NAMES) {
        const context = makeContext({
            instance,
            instances: NAMES,
            index: makeDispatchInputs().index,
            send: async (receiver, method, message) => {
                if (link.isCut) {
                    throw PeerCallError.create(method, receiver, true, new Error("cut"));
                }
                const reply = await fleet.get(receiver)?.handleReport(message as CounterReport__Output);
                return reply as never;
            },
        });
        const observeRevisions = (name: string, revision: number, digest: string): void => {
            observed.add(`${name} ${revision} ${digest.length}`);
        };
        fleet.set(instance, Accounting.create({ context, observeRevisions, exchangeIntervalMs: 10 }));
    }
    return fleet;
}

function getService(fleet: ReadonlyMap<string, Accounting>, name: string, account = "account-0"): number {
    return fleet.get(name)?.getView().getNormalizedService(account) ?? -1;
}

test("converges to the service of the whole fleet on every daemon, also after a full partition heals", async t => {
    const link = { isCut: false };
    const fleet = startFleet(link);
    for (const accounting of fleet.values()) {
        accounting.setWaiting("account-0", 1);
        accounting.charge("account-0", 100);
    }
    await waitFor(() => NAMES.every(name => getService(fleet, name) === 700));
    link.isCut = true;
    for (const accounting of fleet.values()) {
        accounting.charge("account-0", 10);
    }
    await waitFor(() => NAMES.every(name => getService(fleet, name) === 710));
    link.isCut = false;
    await waitFor(() => NAMES.every(name => getService(fleet, name) === 770));
    await Promise.all([...fleet.values()].map(accounting => accounting.close()));
    t.pass();
});

test("lifts a newly backlogged account on every daemon where it waits", async t => {
    const fleet = startFleet({ isCut: false });
    const [first, second] = [fleet.get("daemon-0"), fleet.get("daemon-1")];
    first?.setWaiting("account-0", 1);
    first?.charge("account-0", 5000);
    await waitFor(() => second?.getView().lowestBacklogged === 5000);
    second?.setWaiting("account-1", 1);
    fleet.get("daemon-2")?.setWaiting("account-1", 1);
    await waitFor(() =>
        ["daemon-1", "daemon-2"].every(name => getService(fleet, name, "account-1") === 5000)
    );
    await Promise.all([...fleet.values()].map(accounting => accounting.close()));
    t.pass();
});
