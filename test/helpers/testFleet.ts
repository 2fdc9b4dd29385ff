import { start } from "nact";
import type { ClusterView } from "../../src/core/membership/clusterView.js";
import { ClaimHolder } from "../../src/daemon/actors/claimHolder.js";
import type { DaemonContext } from "../../src/daemon/daemonContext.js";
import { ClaimCoordinator } from "../../src/daemon/execution/claimCoordinator.js";
import { Metrics } from "../../src/observability/metrics.js";
import { makeClusterView } from "./makeClusterView.js";

/** Claim holders and coordinators that call one another in memory. */
export class TestFleet {
    readonly #holders = new Map<string, ClaimHolder>();
    readonly #listeners: (() => void)[] = [];
    /** Instances that cannot be reached. */
    readonly unreachable = new Set<string>();
    /** Wall-clock time in milliseconds. */
    nowMs: number;
    view: ClusterView;
    /** Called instead of a wait between two rounds of a claim. */
    onWait = (): void => {};

    private constructor(names: readonly string[], nowMs: number) {
        this.nowMs = nowMs;
        this.view = makeClusterView(names);
    }

    /** Creates a fleet whose instances, listed or not, have all started long before `nowMs`. */
    static create(names: readonly string[], nowMs: number, listed = names): TestFleet {
        const fleet = new TestFleet(listed, 0);
        names.forEach(name => fleet.resetHolder(name));
        fleet.nowMs = nowMs;
        return fleet;
    }

    /** Starts an instance, or restarts it without its earlier claims. */
    resetHolder(name: string): void {
        this.#holders.set(name, ClaimHolder.create(this.#makeContext(name), () => this.nowMs));
    }

    /** Puts a new cluster view in force at every instance. */
    setView(view: ClusterView): void {
        this.view = view;
        this.#listeners.forEach(listener => listener());
    }

    /** Returns the claim holder of an instance. */
    getHolder(name: string): ClaimHolder {
        const holder = this.#holders.get(name);
        if (!holder) {
            throw new Error(`There is no instance ${name}.`);
        }
        return holder;
    }

    /** Creates the claim coordinator of an entry. */
    createCoordinator(name: string): ClaimCoordinator {
        return ClaimCoordinator.create({
            context: this.#makeContext(name),
            localHolder: this.getHolder(name),
            wait: () => {
                this.onWait();
                return Promise.resolve();
            },
        });
    }

    #makeContext(name: string): Parameters<typeof ClaimHolder.create>[0] & Pick<DaemonContext, "getNow"> {
        return {
            identity: {
                instance: name,
                dataCentre: "caerdydd-a",
                incarnation: name,
                startedAtMs: this.nowMs,
            },
            system: start(),
            metrics: Metrics.create(),
            peers: {
                send: async (instance, method, message) => {
                    if (this.unreachable.has(instance)) {
                        throw new Error("unreachable");
                    }
                    const holder = this.getHolder(instance);
                    if (method === "ClaimKey") {
                        return await holder.handleClaim(message as never) as never;
                    }
                    return await (method === "SettleClaim"
                        ? holder.handleSettle(message as never)
                        : holder.handleHandover(message as never)) as never;
                },
            },
            getView: () => this.view,
            subscribeView: listener => this.#listeners.push(() => listener(this.view)),
            getNow: () => 0,
        };
    }
}
