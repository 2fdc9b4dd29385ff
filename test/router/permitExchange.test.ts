import test from "ava";
import type { MemberRecord } from "../../src/core/routing/memberRecord.js";
import { createMembership } from "../../src/router/createMembership.js";
import { parsePermitMessage } from "../../src/router/parsePermitMessage.js";
import { PermitExchange } from "../../src/router/permitExchange.js";
import type { PermitMessage } from "../../src/router/permitMessage.js";
import type { RouterSettings } from "../../src/router/routerSettings.js";
import { createLimiter } from "../testing/createLimiter.js";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";

const NOW_UNIX_MS = 1_700_000_000_000;
const PEER: MemberRecord = {
    name: "peer",
    dataCentre: "a",
    region: "r",
    ip: "10.0.0.2",
    callerAddress: "10.0.0.2:80",
    incarnation: 1,
    sequence: 1,
    state: "open",
    weight: 1,
};

function createExchange(seedHosts: readonly string[]): {
    exchange: PermitExchange;
    limiter: ReturnType<typeof createLimiter>;
    membership: ReturnType<typeof createMembership>;
    sent: PermitMessage[];
} {
    const limiter = createLimiter();
    limiter.setTargets([makeTargetDescriptor("t")], 0);
    limiter.observe("t", { kind: "named", perSecond: 10 }, 0, 0);
    limiter.addRequest("s", 0);
    const membership = createMembership("a");
    const sent: PermitMessage[] = [];
    const exchange = PermitExchange.create({
        settings: { seedHosts, peerAddress: { host: "10.0.0.1", port: 1 } } as unknown as RouterSettings,
        limits: limiter,
        membership,
        buildRecord: () => ({ ...PEER, name: "self" }),
        send: message => sent.push(message),
        onPermits: () => undefined,
        startedAt: 0,
    });
    return { exchange, limiter, membership, sent };
}

// An instance that restarts behind a cut knows no peers, and must not take the whole limit for its own.
test("an instance that expects peers uses no limited target before it has heard of one, or has waited for long", t => {
    for (
        const [seedHosts, now, isOpen] of [[[], 3000, true], [["10.0.0.1"], 3000, true], [
            ["10.0.0.9"],
            3000,
            false,
        ], [["10.0.0.9"], 121_000, true]] as const
    ) {
        const { exchange, limiter } = createExchange(seedHosts);
        for (let at = now; at < now + 1000; at += 150) {
            limiter.addRequest("s", at);
            exchange.advance(false, at);
        }
        t.is(limiter.isOpen("t", now + 1000), isOpen, `${seedHosts.join()} ${now}`);
    }
});

test("an instance that has just started uses no limited target, since it does not know all peers yet", t => {
    const { exchange, limiter } = createExchange([]);
    for (let at = 0; at < 1900; at += 150) {
        exchange.advance(false, at);
    }
    t.false(limiter.isOpen("t", 1900));
});

test("permits that arrive twice count once, and permits from another data centre go on to those that want them", t => {
    const { exchange, limiter, membership, sent } = createExchange([]);
    const message: PermitMessage = { scope: "permits", sender: PEER, permits: [["t", 1]] };
    const adopt = (record: MemberRecord): boolean => membership.adopt(record, 0) !== "stale";
    exchange.receive(message, adopt, 0);
    exchange.receive(message, adopt, 0);
    limiter.takePermit("t", 0);
    t.false(limiter.isOpen("t", 0));
    const report = { news: [], demands: [["s", 100, 0]] as const, coordinator: "self", memberCount: 2 };
    limiter.applyReport(report, PEER, "instance", 0);
    const remote = { ...PEER, name: "remote", dataCentre: "b" };
    exchange.receive({ scope: "permits", sender: remote, permits: [["t", 4]] }, adopt, 0);
    t.is(sent.flatMap(({ permits }) => permits).reduce((sum, [, count]) => sum + count, 0), 4);
});

test("hostile peer: a message with impossible permits is none", t => {
    const message = { scope: "permits", sender: PEER, permits: [["t", 1]] };
    t.truthy(parsePermitMessage(message, NOW_UNIX_MS));
    for (const permits of [[["t", -1]], [["t", 0.5]], [["t", 1e9]], [[1, 1]], "t", null]) {
        t.is(parsePermitMessage({ ...message, permits }, NOW_UNIX_MS), undefined);
    }
    t.is(parsePermitMessage({ ...message, sender: null }, NOW_UNIX_MS), undefined);
    t.is(parsePermitMessage(null, NOW_UNIX_MS), undefined);
});
