import { type ActorSystemRef, dispatch, type Ref, spawn } from "nact";
import type { Logger } from "winston";
import { decodeText } from "../../adapters/platform/decodeText.js";
import { PlatformClient } from "../../adapters/platform/platformClient.js";
import type { PlatformValueName } from "../../adapters/platform/platformValueName.js";
import { checkPublishedBundle } from "../../core/configuration/checkPublishedBundle.js";
import type { ConfigurationRejection } from "../../core/configuration/configurationRejection.js";
import type { ClusterView } from "../../core/membership/clusterView.js";
import { instanceListSchema } from "../../core/membership/instanceListSchema.js";
import { isReader } from "../../core/membership/isReader.js";
import type { Metrics } from "../../observability/metrics.js";
import { hashText } from "../../shared/hashText.js";
import type { ConfigurationReply } from "../../transport/generated/baobabspread/peer/ConfigurationReply.js";
import type { ConfigurationRequest__Output } from "../../transport/generated/baobabspread/peer/ConfigurationRequest.js";
import { applyManagerMessage } from "../configuration/applyManagerMessage.js";
import { buildConfigurationReply } from "../configuration/buildConfigurationReply.js";
import { buildView } from "../configuration/buildView.js";
import { hasSameView } from "../configuration/hasSameView.js";
import { initialManagerState } from "../configuration/initialManagerState.js";
import type { ManagerMessage } from "../configuration/managerMessage.js";
import type { ManagerState } from "../configuration/managerState.js";
import { PeerChecker } from "../configuration/peerChecker.js";
import { PlatformWatcher } from "../configuration/platformWatcher.js";
import { reportManagerEffect } from "../configuration/reportManagerEffect.js";
import type { DaemonSettings } from "../daemonSettings.js";
import type { PeerCaller } from "../peerCaller.js";

interface ConfigurationManagerOptions {
    readonly settings: DaemonSettings;
    readonly system: ActorSystemRef;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Random number from 0 to 1; picks peers and spreads retries. */
    readonly getRandom: () => number;
}

/** Manages the configuration and the instance list in force, and the state of failure detection. */
export class ConfigurationManager {
    readonly #options: ConfigurationManagerOptions;
    readonly #listeners: ((view: ClusterView) => void)[] = [];
    readonly #abort = new AbortController();
    readonly #actor: Ref<ManagerMessage>;
    #checker: PeerChecker | undefined;
    #state = initialManagerState;
    #view: ClusterView;
    #isReader = true;
    #lastContactAt: number;
    #hasStartedPeerFetch = false;

    private constructor(options: ConfigurationManagerOptions) {
        this.#options = options;
        this.#lastContactAt = options.getNow();
        this.#view = buildView(initialManagerState, {
            configurationRevision: -1,
            configurationDigest: "",
            index: undefined,
            instances: { revision: -1, instances: [] },
            instancesAdoptedAt: 0,
            suspected: new Set(),
            leaving: new Set(),
        });
        this.#actor = spawn(
            options.system,
            (state: ManagerState, message: ManagerMessage) => this.#handleMessage(state, message),
            "configuration",
            {
                initialState: initialManagerState,
                onCrash: (message, error, context) => {
                    options.logger.error("keeper-failed", { type: message?.type, error: String(error) });
                    return context.resume;
                },
            },
        );
    }

    /** Creates a manager without configuration; `start` begins to read it. */
    static create(options: ConfigurationManagerOptions): ConfigurationManager {
        return new ConfigurationManager(options);
    }

    /**
     * Starts reading from the platform and from peers.
     *
     * @param peers Calls peers by instance name.
     * @param seedCaller Calls the seeds of the settings by address.
     */
    start(peers: PeerCaller, seedCaller: PeerCaller): void {
        const { settings, getNow, getRandom } = this.#options;
        this.#checker = PeerChecker.create({
            instance: settings.instance,
            dataCentre: settings.dataCentre,
            peers,
            seeds: settings.peerSeeds,
            seedCaller,
            intervalMs: settings.peerCheckIntervalMs,
            getState: () => this.#state,
            getView: () => this.#view,
            getNow,
            getRandom,
            onMessage: message => dispatch(this.#actor, message),
            onPeerRevisions: () => this.#markContact(),
            onUnusableReply: (instance, reason) => {
                this.#options.metrics.count("configuration_events_total", { reason });
                this.#options.logger.warn(reason, { peer: instance });
            },
            signal: this.#abort.signal,
        });
        void this.#checker.fetchFromSeeds();
        void this.#startWatcher("configuration", value => {
            const check = checkPublishedBundle(value, { hashText, decodeText });
            dispatch(this.#actor, { type: "offered", source: "platform", check });
            return check.version.revision > 0 ? check.version.revision : undefined;
        }).run();
        void this.#startWatcher("instances", value => {
            const list = instanceListSchema.parse(value);
            dispatch(this.#actor, { type: "list-offered", list });
            return list.revision;
        }).run();
    }

    /** Returns the latest view of the fleet. */
    getView(): ClusterView {
        return this.#view;
    }

    /** Returns the last rejected bundle, for the status page. */
    getLastRejection(): ConfigurationRejection | undefined {
        return this.#state.adoption.lastRejection;
    }

    /** True while this daemon is a reader of the platform, or has heard from no peer for `silenceLimitMs`. */
    isWatchingPlatform(): boolean {
        const hasNoContact =
            this.#options.getNow() - this.#lastContactAt > this.#options.settings.silenceLimitMs;
        return this.#isReader || hasNoContact;
    }

    /** Calls the listener after each change of the view. */
    subscribeView(listener: (view: ClusterView) => void): void {
        this.#listeners.push(listener);
    }

    /** Records whether a call reached an instance. */
    recordResult(instance: string, reached: boolean): void {
        if (!reached || this.#state.suspicion[instance]) {
            dispatch(this.#actor, { type: "result", instance, reached });
        }
    }

    /** Records the notice of an instance that is leaving. */
    markLeaving(instance: string, incarnation = ""): void {
        dispatch(this.#actor, { type: "leaving", instance, incarnation });
    }

    /**
     * Records the incarnation of an instance that called this daemon. It cancels the leaving notice of an earlier
     * incarnation, and an instance that failed before is probed at once.
     */
    observeIncarnation(instance: string, incarnation: string): void {
        this.#sendProbeToSuspected(instance);
        if (this.#state.notices.some(notice => notice.instance === instance)) {
            dispatch(this.#actor, { type: "seen", instance, incarnation });
        }
    }

    /** Records the revisions of a peer, for example from a counter exchange, and fetches newer ones. */
    observeRevisions(
        instance: string,
        revision: number,
        digest: string,
        instanceListRevision: number,
    ): void {
        this.#sendProbeToSuspected(instance);
        // A daemon without configuration sends -1, which arrives as 2^64 - 1.
        if (!Number.isSafeInteger(revision) || !Number.isSafeInteger(instanceListRevision)) {
            return;
        }
        this.#markContact();
        if (this.#state.adoption.phase === "serving") {
            void this.#checker?.fetchIfNewer(instance, { revision, digest }, instanceListRevision);
        }
    }

    /** Replies to a peer that requests a newer configuration or instance list. */
    handleFetch(request: ConfigurationRequest__Output): Promise<ConfigurationReply> {
        return Promise.resolve(buildConfigurationReply(this.#state, request));
    }

    /** Stops reading from the platform and from peers. */
    close(): void {
        this.#abort.abort();
    }

    #startWatcher(
        name: PlatformValueName,
        onValue: (value: unknown) => number | undefined,
    ): PlatformWatcher {
        const { settings, metrics, logger, getRandom } = this.#options;
        return PlatformWatcher.create({
            platform: PlatformClient.create(settings.platformUrl),
            name,
            watchMs: settings.platformWatchMs,
            isNeeded: () => this.isWatchingPlatform(),
            getRevision: () =>
                name === "instances" ? this.#view.instances.revision : this.#view.configurationRevision,
            onValue,
            onCall: () => metrics.count("platform_calls_total", { value: name }),
            onFailure: error => {
                metrics.count("platform_failures_total", { value: name });
                logger.warn("platform-unreachable", { value: name, error: String(error) });
            },
            getRandom,
            signal: this.#abort.signal,
        });
    }

    #sendProbeToSuspected(instance: string): void {
        if (this.#state.suspicion[instance]) {
            void this.#checker?.sendContactProbe(instance);
        }
    }

    #markContact(): void {
        this.#lastContactAt = this.#options.getNow();
    }

    #handleMessage(state: ManagerState, message: ManagerMessage): ManagerState {
        const result = applyManagerMessage(state, message, this.#options.getNow());
        this.#state = result.state;
        for (const effect of result.effects) {
            reportManagerEffect(effect, this.#options.metrics, this.#options.logger);
        }
        if (!hasSameView(state, result.state)) {
            this.#updateView(result.state);
        }
        if (result.state.instances.revision >= 0 && !this.#hasStartedPeerFetch) {
            this.#hasStartedPeerFetch = true;
            void this.#fetchFromPeers();
        }
        return result.state;
    }

    async #fetchFromPeers(): Promise<void> {
        await this.#checker?.fetchHighestBundle();
        dispatch(this.#actor, { type: "peers-asked" });
        void this.#checker?.run();
    }

    #updateView(state: ManagerState): void {
        const { settings } = this.#options;
        this.#view = buildView(state, this.#view);
        this.#isReader = isReader(this.#view, settings.instance, settings.dataCentre);
        for (const listener of this.#listeners) {
            listener(this.#view);
        }
    }
}
