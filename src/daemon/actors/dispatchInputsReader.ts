import { computeStaticQuotas } from "../../core/dispatch/computeStaticQuotas.js";
import type { DispatchInputs } from "../../core/dispatch/dispatchInputs.js";
import type { DispatchPolicy } from "../../core/dispatch/dispatchPolicy.js";
import type { ClusterView } from "../../core/membership/clusterView.js";
import type { DaemonContext } from "../daemonContext.js";
import type { Accounting } from "./accounting.js";

/** Collects the inputs of dispatch decisions. */
export class DispatchInputsReader {
    readonly #context: DaemonContext;
    readonly #accounting: Accounting;
    readonly #policy: DispatchPolicy;
    #view: ClusterView | undefined;
    #staticQuotas: ReadonlyMap<string, number> = new Map();

    private constructor(context: DaemonContext, accounting: Accounting, policy: DispatchPolicy) {
        this.#context = context;
        this.#accounting = accounting;
        this.#policy = policy;
    }

    /** Creates a reader for one daemon. */
    static create(
        context: DaemonContext,
        accounting: Accounting,
        policy: DispatchPolicy,
    ): DispatchInputsReader {
        return new DispatchInputsReader(context, accounting, policy);
    }

    /** Returns the current inputs; `undefined` before the first configuration. */
    read(): DispatchInputs | undefined {
        const view = this.#context.getView();
        if (!view.index) {
            return undefined;
        }
        if (view !== this.#view && !this.#policy.usesLeases) {
            this.#staticQuotas = computeStaticQuotas(
                view.index.configuration.targets,
                view.instances.instances,
                this.#context.identity.instance,
            );
        }
        this.#view = view;
        return {
            now: this.#context.getNow(),
            index: view.index,
            fairness: this.#accounting.getView(),
            dataCentre: this.#context.identity.dataCentre,
            staticQuotas: this.#staticQuotas,
        };
    }
}
