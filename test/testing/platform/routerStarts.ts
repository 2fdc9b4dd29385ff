import type { ExecutionContext } from "ava";
import { readFileSync, writeFileSync } from "node:fs";
import type { ListenAddress } from "../../../src/shared/listenAddress.js";
import type { CooperativeFleet } from "../../../src/testing/platform/cooperativeFleet.js";
import { getLoopbackHost } from "../../../src/testing/platform/getLoopbackHost.js";
import { sendCaller } from "../../../src/testing/sendCaller.js";
import { waitUntil } from "../../../src/testing/waitUntil.js";
import { createRouterFleet } from "../router/createRouterFleet.js";
import { startProcess } from "./startProcess.js";

interface Settings {
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly directoryAddress: string;
    readonly host: string;
    readonly peerPort: number;
}

type ServerName = "callers" | "readiness" | "directory" | "change-feed" | "peer-reports" | "metrics";
type StartedRouter = ReturnType<typeof startProcess>;

const ROUTER = new URL("../../../src/platform/main.js", import.meta.url);
const METRICS_PORT = 9464;
/** Longer than the TIME-WAIT state of a connection that another process may open with the port under test. */
const SERVING_TIMEOUT_MS = 75_000;
const SHORT_WAIT_SECONDS = 2;

/** Starts router processes at the addresses of an instance of a fleet whose own process has been killed. */
export class RouterStarts {
    readonly fleet: CooperativeFleet;
    readonly #t: ExecutionContext;
    readonly #settingsPath: string;

    private constructor(t: ExecutionContext, fleet: CooperativeFleet, settingsPath: string) {
        this.#t = t;
        this.fleet = fleet;
        this.#settingsPath = settingsPath;
    }

    /** Creates a fleet with one instance, and kills it. */
    static async create(t: ExecutionContext): Promise<RouterStarts> {
        const fleet = await createRouterFleet(t);
        await fleet.killInstances(fleet.instances);
        return RouterStarts.createFrom(t, fleet);
    }

    /** Starts processes at the addresses of the first instance of a fleet, which may still run. */
    static createFrom(t: ExecutionContext, fleet: CooperativeFleet): RouterStarts {
        return new RouterStarts(t, fleet, fleet.instances[0]?.settingsPath ?? "");
    }

    /** Settings of the instance. */
    get settings(): Settings {
        return JSON.parse(readFileSync(this.#settingsPath, "utf8")) as Settings;
    }

    /** Returns the address of a server of the instance. */
    getAddress(
        server: ServerName,
        settings = this.settings,
    ): ListenAddress & { readonly protocol: "tcp" | "udp"; } {
        const { callerAddress, readinessAddress, directoryAddress, host, peerPort } = settings;
        const addresses: Record<ServerName, string> = {
            "callers": callerAddress,
            "readiness": readinessAddress,
            "directory": directoryAddress,
            "change-feed": `${host}:${peerPort}`,
            "peer-reports": `${host}:${peerPort}`,
            "metrics": `${host}:${METRICS_PORT}`,
        };
        const [ip = "", port] = addresses[server].split(":");
        return { protocol: server === "peer-reports" ? "udp" : "tcp", host: ip, port: Number(port) };
    }

    /** Starts a process with the settings of the instance. */
    start(): StartedRouter {
        return startProcess(this.#t, ROUTER, [this.#settingsPath]);
    }

    /** Starts a process with a settings file of its own, which need not be whole. */
    startWith(settingsText: string): StartedRouter & { readonly settingsPath: string; } {
        const settingsPath = `${this.#settingsPath}.${String(performance.now())}`;
        writeFileSync(settingsPath, settingsText);
        return { ...startProcess(this.#t, ROUTER, [settingsPath]), settingsPath };
    }

    /** Builds the settings of an instance on another loopback host, whose wait for ports is short. */
    buildShortSettings(index: number): Settings {
        const { host } = this.settings;
        const text = JSON.stringify({ ...this.settings, portWaitSeconds: SHORT_WAIT_SECONDS });
        return JSON.parse(text.replaceAll(host, getLoopbackHost(index))) as Settings;
    }

    /** Waits until a process serves a request. */
    async waitUntilServing(router: StartedRouter, settings = this.settings): Promise<void> {
        const { callerAddress, readinessAddress } = settings;
        const headers = {
            "Host": "h",
            "Deadline-Ms": "4000",
            "Request-Id": `serving-${String(performance.now())}`,
        };
        await waitUntil("the process is ready or has ended", async () => {
            const { status } = await sendCaller(`http://${readinessAddress}/`, {
                method: "GET",
                headers: {},
            });
            return status === 200 || router.child.exitCode !== null;
        }, SERVING_TIMEOUT_MS);
        this.#t.is(router.child.exitCode, null, router.getErrors());
        const options = { method: "POST", headers, body: "x" };
        this.#t.is((await sendCaller(`http://${callerAddress}/safe/x`, options)).status, 200);
    }
}
