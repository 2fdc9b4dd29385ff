import type { DemandReport__Output } from "../../transport/generated/baobabspread/peer/DemandReport.js";
import type { LeaseState } from "../../transport/generated/baobabspread/peer/LeaseState.js";
import type { DaemonContext } from "../daemonContext.js";

/** Leases the slots of the pools that this daemon owns. */
export class PoolOwner {
    readonly #context: DaemonContext;

    private constructor(context: DaemonContext) {
        this.#context = context;
    }

    /** Creates the owner without pools; it takes a pool over when an entry reports demand for it. */
    static create(context: DaemonContext): PoolOwner {
        return new PoolOwner(context);
    }

    /** Takes the demand of an entry and replies with the entry's leases. */
    handleDemand(report: DemandReport__Output): Promise<LeaseState> {
        return Promise.resolve({
            pool: report.pool,
            owner: this.#context.identity.instance,
            recovering: true,
        });
    }

    /** Gives borrowed slots back before a planned stop. */
    close(): Promise<void> {
        return Promise.resolve();
    }
}
