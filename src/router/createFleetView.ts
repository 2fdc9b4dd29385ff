import type { DeploymentView } from "./deploymentView.js";
import { FleetView } from "./fleetView.js";
import type { FleetViewOptions } from "./fleetViewOptions.js";
import type { RouterMetrics } from "./routerMetrics.js";
import type { RoutingState } from "./routingState.js";
import type { ServicePool } from "./servicePool.js";
import { StartNotices } from "./startNotices.js";
import { createSpeedReports } from "./targetSpeed/createSpeedReports.js";
import { SpeedLog } from "./targetSpeed/speedLog.js";

interface CreateOptions
    extends
        Pick<FleetViewOptions, "settings" | "log" | "errorBoundary" | "exchange" | "getNow" | "getState"> {
    readonly metrics: RouterMetrics;
    readonly state: RoutingState;
    readonly view: DeploymentView;
    readonly servicePool: ServicePool;
}

/** Creates the view of the fleet of an instance, which starts to exchange reports with its peers. */
export function createFleetView(options: CreateOptions): FleetView {
    const { state, view, servicePool, getNow } = options;
    return FleetView.create({
        ...options,
        ...state,
        startNotices: StartNotices.create({
            getNotice: () => view.startNotice,
            onNotice: (ip, notice) => view.recordStartNotice(ip, notice),
        }),
        speedReports: createSpeedReports(options),
        speedLog: SpeedLog.create(options),
        listLoads: () => servicePool.listLoads(),
        listDataCentreLoads: peers => servicePool.listDataCentreLoads(getNow(), peers),
        onLoads: (peer, loads, validUntil) => servicePool.setPeerLoads(peer, loads, validUntil),
        onSummary: (dataCentre, validUntil) => state.spill?.inputs.summaries.record(dataCentre, validUntil),
        onPermits: () => servicePool.advance(getNow()),
    });
}
