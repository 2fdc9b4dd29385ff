import { ConfigurationFreshness } from "../core/routing/configurationFreshness.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import { StartingVersion } from "../core/routing/startingVersion.js";
import type { StartNotice } from "../core/routing/startNotice.js";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";
import { TargetDirectory } from "../core/routing/targetDirectory.js";
import type { LogSink } from "./logSink.js";
import type { RouterSettings } from "./routerSettings.js";
import type { ServicePool } from "./servicePool.js";

interface DeploymentViewOptions {
    readonly servicePool: ServicePool;
    readonly log: LogSink;
    /** Called with each new list of targets. */
    readonly onTargets: (targets: readonly TargetDescriptor[]) => void;
    readonly onConfiguration: (configuration: RouterConfiguration) => void;
    /** Called with the monotonic time in milliseconds at which the view was confirmed as the newest. */
    readonly onConfirmed: (at: number) => void;
    /** IP addresses of the instances whose word a starting instance waits for. */
    readonly listPeerHosts: () => readonly string[];
    readonly settings: Pick<RouterSettings, "keyFreshnessMs" | "catchUpMs">;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly getTimeOfDay: () => number;
}

/** Data centres that a log line names; other writers may leave any number of names. */
const MAX_LISTED = 20;

/** Configuration, targets and evacuations that are in force at this instance, and how old they are. */
export class DeploymentView {
    readonly #options: DeploymentViewOptions;
    readonly #targets: TargetDirectory;
    readonly #freshness: ConfigurationFreshness;
    readonly #startingVersion: StartingVersion;
    #configuration: RouterConfiguration | undefined;
    #evacuated: ReadonlySet<string> = new Set();
    #hasTargets = false;
    #isStartLogged = false;

    private constructor(options: DeploymentViewOptions) {
        this.#options = options;
        this.#targets = TargetDirectory.create(options.settings.catchUpMs);
        this.#freshness = ConfigurationFreshness.create(options.settings.keyFreshnessMs);
        this.#startingVersion = StartingVersion.create({
            startedAt: options.getNow(),
            listPeers: options.listPeerHosts,
        });
    }

    /** Creates a view without a configuration. */
    static create(options: DeploymentViewOptions): DeploymentView {
        return new DeploymentView(options);
    }

    /** The configuration in force; `undefined` until a configuration and at least one target are known. */
    get configuration(): RouterConfiguration | undefined {
        return this.#hasTargets ? this.#configuration : undefined;
    }

    /** Targets as the platform lists them; changes take effect with `updateTargets`. */
    get targets(): TargetDirectory {
        return this.#targets;
    }

    /** Milliseconds since the configuration was last confirmed as the newest. */
    get ageMs(): number {
        return this.#freshness.getAge(this.#options.getNow(), this.#options.getTimeOfDay());
    }

    /** False in the first moments of a process, in which it does not know whether its peers have a newer configuration. */
    get hasHeardPeers(): boolean {
        return this.#startingVersion.hasHeard(this.#options.getNow());
    }

    /** Version in force, for peers that start; `undefined` while this instance cannot tell whether it is the newest. */
    get currentVersion(): number | undefined {
        const version = this.#configuration?.version;
        if (version === undefined || !this.#startingVersion.isReached(version, this.#options.getNow())) {
            return undefined;
        }
        if (!this.#isStartLogged) {
            this.#isStartLogged = true;
            this.#options.log.write("start-wait-ended", { reason: this.#startingVersion.endReason, version });
        }
        return version;
    }

    /** What peers that start learn of this instance. */
    get startNotice(): StartNotice {
        const startedMsAgo = this.#startingVersion.getStartedMsAgo(this.#options.getNow());
        return { version: this.currentVersion, startedMsAgo };
    }

    /** Records what a peer has told. Returns true once the first one was found that has not just started itself. */
    recordStartNotice(ip: string, notice: StartNotice): boolean {
        const hadOlderPeer = this.#startingVersion.hasOlderPeer;
        this.#startingVersion.recordPeer(ip, notice, this.#options.getNow());
        return this.#startingVersion.hasOlderPeer && !hadOlderPeer;
    }

    /** True while keys may be accepted: none can have been revoked for longer than the platform allows. */
    isFresh(): boolean {
        return this.currentVersion !== undefined
            && this.#freshness.isFresh(this.#options.getNow(), this.#options.getTimeOfDay());
    }

    /** Applies a configuration if its version is higher than that of the one in force. */
    applyConfiguration(configuration: RouterConfiguration): void {
        if (this.#configuration && configuration.version <= this.#configuration.version) {
            return;
        }
        this.#configuration = configuration;
        this.#options.log.write("configuration-adopted", { version: configuration.version });
        this.#options.servicePool.applyConfiguration(configuration);
        this.#options.onConfiguration(configuration);
        this.updateTargets();
    }

    /** Replaces the set of evacuated data centres, whose targets must get no requests. */
    setEvacuated(dataCentres: ReadonlySet<string>): void {
        this.#evacuated = dataCentres;
        this.#options.log.write("evacuation-changed", {
            dataCentres: [...dataCentres].slice(0, MAX_LISTED),
            count: dataCentres.size,
        });
        this.updateTargets();
    }

    /** Updates the schedulers with the current targets. */
    updateTargets(): void {
        const now = this.#options.getNow();
        for (const target of this.#targets.expire(now)) {
            this.#options.log.write("target-changed", { target, state: "expired" });
        }
        const targets = this.#targets.list(now);
        this.#hasTargets ||= targets.length > 0;
        this.#options.onTargets(targets);
        this.#options.servicePool.setTargets(targets, this.#evacuated, now);
    }

    /** Removes targets whose grace period has expired. */
    expireTargets(now: number): void {
        const nextChangeAt = this.#targets.nextChangeAt;
        if (nextChangeAt !== undefined && nextChangeAt <= now) {
            this.updateTargets();
        }
    }

    /**
     * Records when the configuration in force was confirmed as the newest.
     *
     * @param at Monotonic time in milliseconds.
     * @param timeOfDay Unix milliseconds of the same moment.
     */
    recordConfirmation(at: number, timeOfDay: number): void {
        this.#freshness.recordConfirmation(at, timeOfDay);
        this.#options.onConfirmed(at);
    }
}
