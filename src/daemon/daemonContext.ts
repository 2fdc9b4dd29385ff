import type { ActorSystemRef } from "nact";
import type { Logger } from "winston";
import type { Decision } from "../core/explain/decision.js";
import type { ClusterView } from "../core/membership/clusterView.js";
import type { Metrics } from "../observability/metrics.js";
import type { DaemonSettings } from "./daemonSettings.js";
import type { Identity } from "./identity.js";
import type { PeerCaller } from "./peerCaller.js";

/** Dependencies that all actors of a daemon share. */
export interface DaemonContext {
    readonly settings: DaemonSettings;
    readonly identity: Identity;
    readonly system: ActorSystemRef;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly peers: PeerCaller;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Returns the latest view of the fleet; each change creates a new object. */
    readonly getView: () => ClusterView;
    /** Calls the listener after each change of the view. */
    readonly subscribeView: (listener: (view: ClusterView) => void) => void;
    readonly recordDecision: (decision: Decision) => void;
}
