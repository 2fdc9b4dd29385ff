import { setTimeout as wait } from "node:timers/promises";
import { compareVersions } from "../../core/configuration/compareVersions.js";
import type { ConfigurationVersion } from "../../core/configuration/configurationVersion.js";
import type { ClusterView } from "../../core/membership/clusterView.js";
import type { Instance } from "../../core/membership/instance.js";
import { instanceListSchema } from "../../core/membership/instanceListSchema.js";
import { listPeersToCheck } from "../../core/membership/listPeersToCheck.js";
import type { PeerCalls } from "../../transport/peerCalls.js";
import type { PeerCaller } from "../peerCaller.js";
import { decodeConfigurationReply } from "./decodeConfigurationReply.js";
import type { ManagerMessage } from "./managerMessage.js";
import type { ManagerState } from "./managerState.js";

interface PeerCheckerOptions {
    readonly instance: string;
    readonly dataCentre: string;
    readonly peers: PeerCaller;
    /** Peer addresses (host:port) that are queried after the start, whatever the instance list contains. */
    readonly seeds: readonly string[];
    /** Calls peers by address instead of by name. */
    readonly seedCaller: PeerCaller;
    /** Time between two checks in milliseconds. */
    readonly intervalMs: number;
    readonly getState: () => ManagerState;
    readonly getView: () => ClusterView;
    readonly getNow: () => number;
    /** Uniform in [0, 1). */
    readonly getRandom: () => number;
    readonly onMessage: (message: ManagerMessage) => void;
    /** Called when a peer has reported its revisions. */
    readonly onPeerRevisions: () => void;
    /** Called with the reason why a reply could not be used. */
    readonly onUnusableReply: (instance: string, reason: "delta-mismatch" | "unreadable-reply") => void;
    readonly signal: AbortSignal;
}

type FetchReply = PeerCalls["FetchConfiguration"]["reply"];

const FETCH_TIMEOUT_MS = 1000;
const MAX_PEERS_QUERIED_AFTER_START = 5;
const MAX_PEERS_PER_CHECK = 2;
/** Limits the probes that a large number of incoming calls causes. */
const MIN_CONTACT_PROBE_INTERVAL_MS = 100;
/** Bounds the cost of probes while a whole data centre is unreachable. */
const MAX_PROBES_PER_CHECK = 4;
const NO_VERSION: ConfigurationVersion = { revision: 0, digest: "" };
/** As the known version in a request, it makes the peer reply with its version but without a bundle. */
const HIGHEST_VERSION: ConfigurationVersion = { revision: Number.MAX_SAFE_INTEGER, digest: "" };

/** Fetches newer configurations and instance lists from peers. */
export class PeerChecker {
    readonly #options: PeerCheckerOptions;
    #isFetching = false;
    #nextContactProbeAt = 0;

    private constructor(options: PeerCheckerOptions) {
        this.#options = options;
    }

    /** Creates a checker; `run` starts it. */
    static create(options: PeerCheckerOptions): PeerChecker {
        return new PeerChecker(options);
    }

    /** Checks a randomly picked peer and probes failed ones at each interval until the signal aborts. */
    async run(): Promise<void> {
        const { signal, intervalMs, getRandom } = this.#options;
        while (!signal.aborted) {
            this.#sendProbes();
            void this.#checkPeers();
            // Jitter keeps daemons that started together from sending their checks in step.
            await wait(intervalMs * (0.9 + 0.2 * getRandom()), undefined, { signal }).catch(() => undefined);
            this.#options.onMessage({ type: "tick" });
        }
    }

    /** Queries the seeds until an instance list is known, from them or from the platform. */
    async fetchFromSeeds(): Promise<void> {
        const { seeds, signal, intervalMs, getState } = this.#options;
        while (seeds.length > 0 && !signal.aborted && getState().instances.revision < 0) {
            await this.fetchHighestBundle();
            await wait(intervalMs, undefined, { signal }).catch(() => undefined);
        }
    }

    /**
     * Queries the seeds and several peers for their versions and fetches the highest that is readable. Runs after
     * the start, before the platform is trusted.
     */
    async fetchHighestBundle(): Promise<void> {
        const livePeers = this.#options.getView().instances.instances
            .filter(instance => instance.name !== this.#options.instance && instance.state === "live");
        const names = [...this.#options.seeds, ...this.#pickPeers(livePeers).map(({ name }) => name)];
        const replies = await Promise.all(
            names.map(async name => ({ name, version: await this.#fetch(name, HIGHEST_VERSION) })),
        );
        const offers = replies
            .flatMap(({ name, version }) => version && version.revision > 0 ? [{ name, version }] : [])
            .sort((a, b) => compareVersions(b.version, a.version));
        for (const { name, version } of offers) {
            const { candidate: held } = this.#options.getState().adoption;
            if (held && compareVersions(held, version) >= 0) {
                return;
            }
            if (await this.#fetch(name, NO_VERSION)) {
                return;
            }
        }
    }

    /**
     * Probes an instance at once that failed before and has now called this daemon. Only a successful probe clears
     * it: in a one-way partition the instance cannot be reached although its calls arrive.
     */
    async sendContactProbe(instance: string): Promise<void> {
        const now = this.#options.getNow();
        if (now < this.#nextContactProbeAt) {
            return;
        }
        this.#nextContactProbeAt = now + MIN_CONTACT_PROBE_INTERVAL_MS;
        await this.#fetch(instance, this.#getKnownVersion());
    }

    /** Fetches from an instance whose version or instance list is newer than the local one. */
    async fetchIfNewer(
        instance: string,
        version: ConfigurationVersion,
        instanceListRevision: number,
    ): Promise<void> {
        const { instances } = this.#options.getState();
        const isNewer = compareVersions(version, this.#getKnownVersion()) > 0
            || instanceListRevision > Math.max(0, instances.revision);
        if (!isNewer || this.#isFetching) {
            return;
        }
        this.#isFetching = true;
        try {
            await this.#fetch(instance, this.#getKnownVersion());
        }
        finally {
            this.#isFetching = false;
        }
    }

    // A second peer is tried at once; otherwise one failed peer would delay a change beyond 4 s.
    async #checkPeers(): Promise<void> {
        const { instance, dataCentre, getView, getRandom } = this.#options;
        const peers = [...listPeersToCheck(getView(), instance, dataCentre)];
        for (let attempts = 0; attempts < MAX_PEERS_PER_CHECK && peers.length > 0; attempts += 1) {
            const [peer] = peers.splice(Math.floor(getRandom() * peers.length), 1);
            if (peer && await this.#fetch(peer.name, this.#getKnownVersion())) {
                return;
            }
        }
    }

    #pickPeers(livePeers: readonly Instance[]): readonly Instance[] {
        const localPeers = livePeers.filter(instance => instance.dataCentre === this.#options.dataCentre);
        const shuffled = [...localPeers.slice(0, 2), ...livePeers]
            .map(instance => ({ instance, order: this.#options.getRandom() }))
            .sort((a, b) => a.order - b.order)
            .map(({ instance }) => instance);
        return [...new Set(shuffled)].slice(0, MAX_PEERS_QUERIED_AFTER_START);
    }

    // A rejected version counts as known; otherwise each check would fetch it again.
    #getKnownVersion(): ConfigurationVersion {
        const { inForce, lastRejection } = this.#options.getState().adoption;
        const known = inForce ?? NO_VERSION;
        return lastRejection && compareVersions(lastRejection, known) > 0 ? lastRejection : known;
    }

    // Returns the peer's version, or `undefined` if there is no usable reply.
    async #fetch(instance: string, known: ConfigurationVersion): Promise<ConfigurationVersion | undefined> {
        const { adoption, instances } = this.#options.getState();
        const base = adoption.inForce;
        const { peers, seeds, seedCaller } = this.#options;
        const caller = seeds.includes(instance) ? seedCaller : peers;
        const reply = await caller.send(instance, "FetchConfiguration", {
            knownRevision: known.revision,
            knownDigest: known.digest,
            knownInstanceListRevision: Math.max(0, instances.revision),
        }, FETCH_TIMEOUT_MS).catch(() => undefined);
        if (!reply || this.#options.signal.aborted) {
            return undefined;
        }
        this.#options.onPeerRevisions();
        if (reply.form === "delta" && (!base || compareVersions(base, known) !== 0)) {
            return this.#fetch(instance, base ?? NO_VERSION);
        }
        try {
            await this.#handleReply(instance, reply, base);
            return { revision: Number(reply.revision), digest: reply.digest };
        }
        catch {
            this.#options.onUnusableReply(instance, "unreadable-reply");
            return undefined;
        }
    }

    async #handleReply(
        instance: string,
        reply: FetchReply,
        base: ManagerState["adoption"]["inForce"],
    ): Promise<void> {
        if (reply.instanceList !== "") {
            const list = instanceListSchema.parse(JSON.parse(reply.instanceList));
            this.#options.onMessage({ type: "list-offered", list });
        }
        const check = decodeConfigurationReply(reply, base);
        if (!check) {
            return;
        }
        if (reply.form === "delta" && !check.bundle) {
            this.#options.onUnusableReply(instance, "delta-mismatch");
            await this.#fetch(instance, NO_VERSION);
            return;
        }
        this.#options.onMessage({ type: "offered", source: instance, check });
    }

    #sendProbes(): void {
        const now = this.#options.getNow();
        const due = Object.entries(this.#options.getState().suspicion)
            .filter(([, peer]) => peer.nextProbeAt <= now)
            .slice(0, MAX_PROBES_PER_CHECK);
        for (const [instance] of due) {
            this.#options.onMessage({ type: "probed", instance });
            void this.#fetch(instance, this.#getKnownVersion());
        }
    }
}
