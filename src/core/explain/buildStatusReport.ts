import type { ConfigurationRejection } from "../configuration/configurationRejection.js";
import type { ClusterView } from "../membership/clusterView.js";
import { listMissing } from "./listMissing.js";
import type { StatusReport } from "./statusReport.js";

interface StatusOptions {
    readonly instance: string;
    readonly dataCentre: string;
    readonly incarnation: string;
    /** Wall-clock time of the start in milliseconds. */
    readonly startedAtMs: number;
    /** True once the daemon has been asked to stop. */
    readonly leaving: boolean;
    readonly watchesPlatform: boolean;
    readonly lastRejection: ConfigurationRejection | undefined;
    readonly view: ClusterView;
    /** Sections of other parts of the daemon. */
    readonly sections: Readonly<Record<string, unknown>>;
}

/** Builds the status of a daemon from its view of the fleet. */
export function buildStatusReport(options: StatusOptions): StatusReport {
    const { view } = options;
    return {
        instance: options.instance,
        dataCentre: options.dataCentre,
        incarnation: options.incarnation,
        startedAt: new Date(options.startedAtMs).toISOString(),
        notReady: listMissing(view, options.leaving),
        configuration: view.index
            ? { revision: view.configurationRevision, digest: view.configurationDigest }
            : undefined,
        instanceListRevision: view.instances.revision,
        lastRejection: options.lastRejection,
        watchesPlatform: options.watchesPlatform,
        instances: view.instances.instances.map(instance => ({
            ...instance,
            suspected: view.suspected.has(instance.name),
            leaving: view.leaving.has(instance.name),
        })),
        sections: options.sections,
    };
}
