import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import { DeploymentView } from "./deploymentView.js";
import type { LogSink } from "./logSink.js";
import type { RouterSettings } from "./routerSettings.js";
import type { RoutingState } from "./routingState.js";
import { RunSurvey } from "./runSurvey.js";
import type { ServicePool } from "./servicePool.js";
import type { WireFormat } from "./wireFormat.js";

interface ViewOptions {
    readonly settings: RouterSettings;
    readonly wire: WireFormat;
    readonly log: LogSink;
    readonly servicePool: ServicePool;
    readonly state: Pick<RoutingState, "limits" | "crashDetector" | "targetStarts" | "streamOrigins">;
    readonly onConfiguration: (configuration: RouterConfiguration) => void;
    readonly listPeerHosts: () => readonly string[];
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

/** Creates the view of an instance, which passes its changes on to the state that depends on them. */
export function createDeploymentView(options: ViewOptions): DeploymentView {
    const { state: { limits, crashDetector, targetStarts, streamOrigins }, getNow, onConfiguration } =
        options;
    const runSurvey = RunSurvey.create({ ...options, streamOrigins });
    return DeploymentView.create({
        ...options,
        getTimeOfDay: Date.now,
        onTargets: targets => {
            limits.setTargets(targets, getNow());
            crashDetector.setTargets(targets, getNow());
            targetStarts.observeTargets(targets);
            streamOrigins.observeTargets(targets, getNow());
            runSurvey.observeTargets(targets);
        },
        onConfiguration: configuration => {
            onConfiguration(configuration);
            streamOrigins.observeConfiguration(configuration, getNow());
        },
        onConfirmed: at => {
            targetStarts.recordConfirmation(at);
            streamOrigins.recordConfirmation(at);
        },
    });
}
