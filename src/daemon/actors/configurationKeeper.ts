import type { Logger } from "winston";
import { PlatformClient } from "../../adapters/platform/platformClient.js";
import type { PlatformValues } from "../../adapters/platform/platformValues.js";
import { ConfigurationIndex } from "../../core/configuration/configurationIndex.js";
import { configurationSchema } from "../../core/configuration/configurationSchema.js";
import type { ClusterView } from "../../core/membership/clusterView.js";
import type { Metrics } from "../../observability/metrics.js";
import type { ConfigurationReply } from "../../transport/generated/baobabspread/peer/ConfigurationReply.js";
import type { ConfigurationRequest__Output } from "../../transport/generated/baobabspread/peer/ConfigurationRequest.js";
import type { DaemonSettings } from "../daemonSettings.js";
import type { PeerCaller } from "../peerCaller.js";

interface ConfigurationKeeperOptions {
    readonly settings: DaemonSettings;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly getNow: () => number;
}

const WATCH_MS = 10_000;
const PLATFORM_RETRY_MS = 500;

/** Keeps the configuration and the instance list in force, and what failure detection knows. */
export class ConfigurationKeeper {
    readonly #options: ConfigurationKeeperOptions;
    readonly #listeners: ((view: ClusterView) => void)[] = [];
    readonly #platform: PlatformClient;
    readonly #abort = new AbortController();
    #view: ClusterView = {
        configurationRevision: -1,
        configurationDigest: "",
        index: undefined,
        instances: { revision: -1, instances: [] },
        instancesAdoptedAt: 0,
        suspected: new Set(),
        leaving: new Set(),
    };

    private constructor(options: ConfigurationKeeperOptions) {
        this.#options = options;
        this.#platform = PlatformClient.create(options.settings.platformUrl);
    }

    /** Creates a keeper without configuration. */
    static create(options: ConfigurationKeeperOptions): ConfigurationKeeper {
        return new ConfigurationKeeper(options);
    }

    /** Starts reading; `peers` serves to learn revisions from other daemons. */
    start(_peers: PeerCaller): void {
        void this.#watch("configuration", bundle => {
            const index = ConfigurationIndex.create(configurationSchema.parse(bundle.configuration));
            this.#update({
                index,
                configurationRevision: bundle.revision,
                configurationDigest: bundle.digest,
            });
            return bundle.revision;
        });
        void this.#watch("instances", instances => {
            this.#update({ instances, instancesAdoptedAt: this.#options.getNow() });
            return instances.revision;
        });
    }

    /** Latest view of the fleet. */
    getView(): ClusterView {
        return this.#view;
    }

    /** Calls the listener after each change of the view. */
    subscribeView(listener: (view: ClusterView) => void): void {
        this.#listeners.push(listener);
    }

    /** Records whether a call reached an instance. */
    recordResult(_instance: string, _reached: boolean): void {}

    /** Marks an instance that announced that it is leaving. */
    markLeaving(instance: string): void {
        this.#update({ leaving: new Set([...this.#view.leaving, instance]) });
    }

    /** Learns the revisions of another daemon, for example from a counter exchange. */
    observeRevisions(
        _instance: string,
        _revision: number,
        _digest: string,
        _instanceListRevision: number,
    ): void {}

    /** Answers a daemon that wants a newer configuration or instance list. */
    handleFetch(_request: ConfigurationRequest__Output): Promise<ConfigurationReply> {
        return Promise.resolve({ form: "none" });
    }

    /** Stops reading. */
    close(): void {
        this.#abort.abort();
    }

    #update(change: Partial<ClusterView>): void {
        this.#view = { ...this.#view, ...change };
        for (const listener of this.#listeners) {
            listener(this.#view);
        }
    }

    async #watch<K extends keyof PlatformValues>(
        name: K,
        adopt: (value: PlatformValues[K]) => number,
    ): Promise<void> {
        let revision = -1;
        while (!this.#abort.signal.aborted) {
            try {
                const value = await this.#platform.watch(name, revision, WATCH_MS, this.#abort.signal);
                revision = value === undefined ? revision : adopt(value);
            }
            catch (error) {
                this.#options.logger.warn("platform-unreachable", { error: String(error) });
                await new Promise(resolve => setTimeout(resolve, PLATFORM_RETRY_MS));
            }
        }
    }
}
