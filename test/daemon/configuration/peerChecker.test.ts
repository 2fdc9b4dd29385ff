import test from "ava";
import type { AdoptionState } from "../../../src/core/configuration/adoptionState.js";
import { applyAdoptionEvent } from "../../../src/core/configuration/applyAdoptionEvent.js";
import { buildBundle } from "../../../src/core/configuration/buildBundle.js";
import { checkBundle } from "../../../src/core/configuration/checkBundle.js";
import { applyManagerMessage } from "../../../src/daemon/configuration/applyManagerMessage.js";
import { buildConfigurationReply } from "../../../src/daemon/configuration/buildConfigurationReply.js";
import { buildView } from "../../../src/daemon/configuration/buildView.js";
import { initialManagerState } from "../../../src/daemon/configuration/initialManagerState.js";
import type { ManagerState } from "../../../src/daemon/configuration/managerState.js";
import { PeerChecker } from "../../../src/daemon/configuration/peerChecker.js";
import type { PeerCaller } from "../../../src/daemon/peerCaller.js";
import { hashText } from "../../../src/shared/hashText.js";
import { makeConfiguration } from "../../../src/testing/makeConfiguration.js";
import type { ConfigurationReply } from "../../../src/transport/generated/baobabspread/peer/ConfigurationReply.js";
import type { ConfigurationRequest__Output } from "../../../src/transport/generated/baobabspread/peer/ConfigurationRequest.js";

const NAMES = ["a", "b", "c"];

type ReplyBuilder = (request: ConfigurationRequest__Output) => ConfigurationReply;

function makeState(revisions: readonly number[]): ManagerState {
    const instances = NAMES.map(name => ({
        name,
        dataCentre: "caerdydd-a",
        callerAddress: "",
        peerAddress: name,
        operatorAddress: "",
        state: "live" as const,
    }));
    const adoption = revisions.reduce<AdoptionState>((state, revision) => {
        const configuration = makeConfiguration({
            shares: [{ name: "standard", weight: revision }],
        });
        const check = checkBundle(buildBundle(configuration, revision, hashText), hashText);
        return applyAdoptionEvent(state, { type: "offered", source: "platform", check }).state;
    }, { ...initialManagerState.adoption, phase: "serving" });
    return { ...initialManagerState, adoption, instances: { revision: 1, instances } };
}

class CheckerHarness {
    state: ManagerState;
    readonly replyForms: string[] = [];
    readonly unusableReplies: string[] = [];
    readonly checker: PeerChecker;

    private constructor(
        state: ManagerState,
        replyBuilders: Readonly<Record<string, ReplyBuilder>>,
        seeds: readonly string[],
    ) {
        this.state = state;
        const peers = {
            send: (instance: string, _method: string, message: ConfigurationRequest__Output) => {
                const reply = replyBuilders[instance]?.(message);
                this.replyForms.push(`${instance}:${reply?.form ?? "lost"}`);
                return reply ? Promise.resolve(reply) : Promise.reject(new Error("lost"));
            },
        };
        this.checker = PeerChecker.create({
            instance: "a",
            dataCentre: "caerdydd-a",
            peers: peers as unknown as PeerCaller,
            seeds,
            seedCaller: peers as unknown as PeerCaller,
            intervalMs: 1,
            getState: () => this.state,
            getView: () => this.#buildView(),
            getNow: () => 0,
            getRandom: () => 0,
            onMessage: message => {
                this.state = applyManagerMessage(this.state, message, 0).state;
            },
            onPeerRevisions: () => undefined,
            onUnusableReply: (_, reason) => this.unusableReplies.push(reason),
            signal: new AbortController().signal,
        });
    }

    static create(
        state: ManagerState,
        replyBuilders: Readonly<Record<string, ReplyBuilder>>,
        seeds: readonly string[] = [],
    ): CheckerHarness {
        return new CheckerHarness(state, replyBuilders, seeds);
    }

    get revision(): number | undefined {
        return this.state.adoption.inForce?.revision;
    }

    #buildView() {
        return buildView(this.state, {
            configurationRevision: -1,
            configurationDigest: "",
            index: undefined,
            instances: this.state.instances,
            instancesAdoptedAt: 0,
            suspected: new Set(),
            leaving: new Set(),
        });
    }
}

const serveState = (state: ManagerState): ReplyBuilder => request => buildConfigurationReply(state, request);

test("fetches a newer revision as a delta, or as a whole bundle if the peer does not know the base", async t => {
    for (const [revisions, form] of [[[1, 2, 3], "delta"], [[3], "full"]] as const) {
        const harness = CheckerHarness.create(makeState([1]), { b: serveState(makeState(revisions)) });
        await harness.checker.fetchIfNewer("b", { revision: 3, digest: "" }, 1);
        t.deepEqual([harness.revision, harness.replyForms], [3, [`b:${form}`]]);
    }
});

test("fetches the whole bundle if a delta does not result in the expected digest", async t => {
    const serve = serveState(makeState([1, 2]));
    const harness = CheckerHarness.create(makeState([1]), {
        b: request => ({ ...serve(request), ...(request.knownRevision === 1 ? { body: "[]" } : {}) }),
    });
    await harness.checker.fetchIfNewer("b", { revision: 2, digest: "" }, 1);
    t.deepEqual([harness.revision, harness.unusableReplies], [2, ["delta-mismatch"]]);
});

test("ignores an unreadable reply and still fetches later", async t => {
    let body: string | undefined = "{";
    const serve = serveState(makeState([2]));
    const harness = CheckerHarness.create(makeState([1]), {
        b: request => ({ ...serve(request), ...(body === undefined ? {} : { body }) }),
    });
    await harness.checker.fetchIfNewer("b", { revision: 2, digest: "" }, 1);
    t.deepEqual([harness.revision, harness.unusableReplies], [1, ["unreadable-reply"]]);
    body = undefined;
    await harness.checker.fetchIfNewer("b", { revision: 2, digest: "" }, 1);
    t.is(harness.revision, 2);
});

test("does not fetch a rejected bundle again", async t => {
    const state = makeState([1]);
    const lastRejection = { revision: 2, digest: "d", source: "b", faults: ["targets.0: unknown key"] };
    const harness = CheckerHarness.create({ ...state, adoption: { ...state.adoption, lastRejection } }, {
        b: serveState(makeState([2])),
    });
    await harness.checker.fetchIfNewer("b", { revision: 2, digest: "d" }, 1);
    t.deepEqual(harness.replyForms, []);
});

test("after a start, fetches the highest bundle, or that of the next peer if the reply is unreadable", async t => {
    const newest = serveState(makeState([2]));
    const start = { ...initialManagerState, instances: makeState([]).instances };
    const harness = CheckerHarness.create(start, {
        b: request => request.knownRevision === 0 ? { form: "full", body: "{" } : newest(request),
        c: serveState(makeState([1])),
    });
    await harness.checker.fetchHighestBundle();
    t.deepEqual(harness.replyForms, ["b:none", "c:none", "b:full", "c:full"]);
    t.is(harness.state.adoption.candidate?.revision, 1);
});

// A daemon that starts while the platform is down has no instance list and thus no peers.
test("without an instance list, queries the seeds until one replies with a list and a bundle", async t => {
    let calls = 0;
    const serve = serveState(makeState([2]));
    const seed = "10.0.0.2:7000";
    const harness = CheckerHarness.create(initialManagerState, {
        [seed]: request => {
            calls += 1;
            return calls < 3 ? { form: "none", body: "", instanceList: "", revision: 0 } : serve(request);
        },
    }, [seed]);
    await harness.checker.fetchFromSeeds();
    t.deepEqual([harness.state.adoption.candidate?.revision, harness.state.instances.revision], [2, 1]);
});

// The platform may return a stale list and bundle to a daemon that has restarted.
test("queries the seeds before the platform is trusted, even if the list has other peers", async t => {
    const start = { ...initialManagerState, instances: makeState([]).instances };
    const harness = CheckerHarness.create(start, {
        "b": serveState(makeState([1])),
        "10.0.0.2:7000": serveState(makeState([3])),
    }, ["10.0.0.2:7000"]);
    await harness.checker.fetchHighestBundle();
    t.is(harness.state.adoption.candidate?.revision, 3);
});
