import type { CallerServer } from "../adapters/caller/callerServer.js";
import type { OperatorServer } from "../adapters/operator/operatorServer.js";
import type { TargetClient } from "../adapters/target/targetClient.js";
import type { PeerClient } from "../transport/peerClient.js";
import type { PeerServer } from "../transport/peerServer.js";
import type { Accounting } from "./actors/accounting.js";
import type { ClaimHolder } from "./actors/claimHolder.js";
import type { ConfigurationManager } from "./actors/configurationManager.js";
import type { Dispatcher } from "./actors/dispatcher.js";
import type { PoolOwner } from "./actors/poolOwner.js";
import type { DaemonContext } from "./daemonContext.js";

/** Servers, clients and actors of one daemon. */
export interface DaemonParts {
    readonly context: DaemonContext;
    readonly configurationManager: ConfigurationManager;
    readonly dispatcher: Dispatcher;
    readonly poolOwner: PoolOwner;
    readonly accounting: Accounting;
    readonly callerServer: CallerServer;
    readonly operatorServer: OperatorServer;
    readonly claimHolder: ClaimHolder;
    readonly targetClient: TargetClient;
    readonly peerServer: PeerServer;
    readonly peerClient: PeerClient;
    /** Marks the daemon as not ready. */
    readonly onLeaving: () => void;
}
