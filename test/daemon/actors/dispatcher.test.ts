import test from "ava";
import { hashName } from "../../../src/core/configuration/hashName.js";
import { RequestError } from "../../../src/core/errors/requestError.js";
import type { Decision } from "../../../src/core/explain/decision.js";
import { listOwners } from "../../../src/core/lease/listOwners.js";
import type { SlotResult } from "../../../src/core/request/slotResult.js";
import { Accounting } from "../../../src/daemon/actors/accounting.js";
import { Dispatcher } from "../../../src/daemon/actors/dispatcher.js";
import type { PeerCaller } from "../../../src/daemon/peerCaller.js";
import type { DemandReport__Output } from "../../../src/transport/generated/baobabspread/peer/DemandReport.js";
import type { LeaseState } from "../../../src/transport/generated/baobabspread/peer/LeaseState.js";
import { PeerCallError } from "../../../src/transport/peerCallError.js";
import { makeContext } from "../../testing/makeContext.js";
import { makeDispatchInputs } from "../../testing/makeDispatchInputs.js";
import { makeTicket } from "../../testing/makeTicket.js";
import { waitFor } from "../../testing/waitFor.js";

const COMPLETED: SlotResult = { cost: 30, ending: "completed", targetState: undefined };
const NEVER_ABORTED = new AbortController().signal;

/** Fake pool owner that leases at most `slots` slots of the target in data centre `near`. */
class FakeOwner {
    readonly reports: DemandReport__Output[] = [];
    slots: number;
    #sequence = 0;

    constructor(slots: number) {
        this.slots = slots;
    }

    handleDemand(report: DemandReport__Output, owner: string): LeaseState {
        this.reports.push(report);
        this.#sequence += 1;
        const wanted = report.demands.reduce((sum, demand) => sum + demand.waiting, 0)
            + report.holdings.reduce((sum, holding) => sum + holding.held, 0);
        const isNear = report.pool?.dataCentre === hashName("near");
        return {
            pool: report.pool,
            owner,
            ownerIncarnation: "1",
            sequence: this.#sequence,
            reportSequence: report.sequence,
            leases: isNear
                ? [{
                    target: hashName("engine-near"),
                    slots: Math.min(wanted, this.slots),
                    fencingNumber: 7,
                    remainingMs: 2000,
                }]
                : [],
        };
    }
}

interface Entry {
    readonly dispatcher: Dispatcher;
    readonly owner: FakeOwner;
    readonly decisions: readonly Decision[];
}

function startEntry(slots: number, send?: PeerCaller["send"], instances = ["self"]): Entry {
    const owner = new FakeOwner(slots);
    const decisions: Decision[] = [];
    const context = makeContext({
        instance: "self",
        instances,
        index: makeDispatchInputs({ queueLimit: 5 }).index,
        decisions,
        send: send ?? (() => Promise.reject(new Error("no peers"))),
    });
    const accounting = Accounting.create({ context, observeRevisions: () => {} });
    const dispatcher = Dispatcher.create({
        context,
        accounting,
        reportDemand: report => Promise.resolve(owner.handleDemand(report, "self")),
    });
    return { dispatcher, owner, decisions };
}

function makeDeadline(ms = 60_000): { readonly deadline: number; } {
    return { deadline: performance.now() + ms };
}

async function getRefusal(promise: Promise<unknown>): Promise<string> {
    const error: unknown = await promise.catch((reason: unknown) => reason);
    return error instanceof RequestError ? `${error.code} ${error.outcome}` : "none";
}

test("grants leased slots, queues further requests and returns every slot on drain", async t => {
    const { dispatcher, owner, decisions } = startEntry(2);
    const grants = await Promise.all(
        [1, 2].map(() => dispatcher.acquireSlot(makeTicket("account-0", makeDeadline()), NEVER_ABORTED)),
    );
    t.deepEqual(grants.map(grant => grant.fencingNumber), [7, 7]);
    const third = dispatcher.acquireSlot(makeTicket("account-1", makeDeadline()), NEVER_ABORTED);
    await waitFor(() => decisions.some(decision => decision.account === "account-1"));
    const drained = dispatcher.drain();
    const refused = dispatcher.acquireSlot(makeTicket("account-0", makeDeadline()), NEVER_ABORTED);
    t.is(await getRefusal(refused), "instance-leaving not-run");
    const keepAlive = setInterval(() => {}, 1000);
    for (const grant of grants) {
        dispatcher.chargeTokens(grant, 10);
        dispatcher.releaseSlot(grant, COMPLETED);
    }
    dispatcher.releaseSlot(await third, COMPLETED);
    await drained;
    clearInterval(keepAlive);
    t.deepEqual(
        owner.reports.filter(report => report.pool?.dataCentre === hashName("near")).at(-1)?.holdings,
        [],
    );
    t.true(decisions.some(({ kind, reason }) => kind === "queued" && reason === "no-slots-held"));
    t.is(decisions.filter(({ kind }) => kind === "granted").length, 3);
});

test("refuses as not run on a disconnected caller, an expired deadline and a full queue", async t => {
    const { dispatcher } = startEntry(0);
    const abort = new AbortController();
    const cancelled = dispatcher.acquireSlot(makeTicket("account-0", makeDeadline()), abort.signal);
    const expired = dispatcher.acquireSlot(makeTicket("account-0", makeDeadline(50)), NEVER_ABORTED);
    const others = Array.from(
        { length: 3 },
        () => dispatcher.acquireSlot(makeTicket("account-0", makeDeadline(100)), NEVER_ABORTED),
    );
    const surplus = dispatcher.acquireSlot(makeTicket("account-0", makeDeadline()), NEVER_ABORTED);
    t.is(await getRefusal(surplus), "queue-full not-run");
    abort.abort();
    t.is(await getRefusal(cancelled), "caller-disconnected not-run");
    const keepAlive = setInterval(() => {}, 1000);
    t.is(await getRefusal(expired), "deadline-expired not-run");
    await Promise.allSettled(others);
    await dispatcher.drain();
    clearInterval(keepAlive);
});

test("requests slots from the next owner in rank when the first one does not reply", async t => {
    const instances = ["other", "self"];
    const view = makeContext({
        instance: "self",
        instances,
        index: makeDispatchInputs().index,
        send: () => Promise.reject(new Error()),
    }).getView();
    const findOwner = (suspected: readonly string[]): string | undefined =>
        listOwners({ ...view, suspected: new Set(suspected) }, "desk", "near")[0];
    t.is(findOwner(["other"]), "self");
    t.is(findOwner(["self"]), "other");
    t.is(findOwner(["other", "self"]), undefined);
    const { dispatcher } = startEntry(
        1,
        (receiver, method) => Promise.reject(PeerCallError.create(method, receiver, true, new Error("down"))),
        instances,
    );
    const keepAlive = setInterval(() => {}, 1000);
    const grant = await dispatcher.acquireSlot(makeTicket("account-0", makeDeadline()), NEVER_ABORTED);
    t.is(grant.target.name, "engine-near");
    dispatcher.releaseSlot(grant, COMPLETED);
    await dispatcher.drain();
    clearInterval(keepAlive);
});

test("uses a pushed lease at once and reports its holdings to a new owner", async t => {
    const { dispatcher, owner } = startEntry(0);
    const keepAlive = setInterval(() => {}, 1000);
    const waiting = dispatcher.acquireSlot(makeTicket("account-0", makeDeadline()), NEVER_ABORTED);
    await waitFor(() => owner.reports.length > 0);
    const pool = { service: hashName("desk"), dataCentre: hashName("near") };
    owner.slots = 1;
    const reply = await dispatcher.handleLease({
        pool,
        owner: "self",
        ownerIncarnation: "1",
        sequence: 99,
        reportSequence: owner.reports.find(report => report.pool?.dataCentre === pool.dataCentre)?.sequence
            ?? 0,
        leases: [{ target: hashName("engine-near"), slots: 1, fencingNumber: 8, remainingMs: 2000 }],
        horizon: 0,
        recovering: false,
        freeSlots: 0,
        reportAgeMs: 0,
    });
    t.true(reply.accepted);
    const grant = await waiting;
    t.is(grant.fencingNumber, 8);
    const holdings = await dispatcher.handleHoldings({ pool });
    t.deepEqual(holdings.holdings, [{
        target: hashName("engine-near"),
        held: 1,
        inUse: 1,
        fencingNumber: 8,
    }]);
    dispatcher.releaseSlot(grant, COMPLETED);
    await dispatcher.drain();
    clearInterval(keepAlive);
});
