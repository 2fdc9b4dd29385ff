// Loaded first, so that a signal during the start does not end the process.
import { startupSignals } from "../shared/startupSignals.js";

import { performance } from "node:perf_hooks";
import { computeServerLimits } from "../core/routing/computeServerLimits.js";
import { planEnd } from "../core/routing/planEnd.js";
import { ErrorBoundary } from "../router/errorBoundary.js";
import { createRoutePage } from "../router/explain/createRoutePage.js";
import { LogSink } from "../router/logSink.js";
import { Router } from "../router/router.js";
import { RouterMetrics } from "../router/routerMetrics.js";
import { createErrorEnd } from "../shared/createErrorEnd.js";
import { createServiceCheck } from "../shared/createServiceCheck.js";
import type { ListenAddress } from "../shared/listenAddress.js";
import { PortBinder } from "../shared/portBinder.js";
import { readDescriptorLimit } from "../shared/readDescriptorLimit.js";
import { readWholeJson } from "../shared/readWholeJson.js";
import { createPlannedEnd } from "./createPlannedEnd.js";
import { endStart } from "./endStart.js";
import { parseSettings } from "./parseSettings.js";
import { platformWireFormat } from "./platformWireFormat.js";
import { startServers } from "./startServers.js";
import { StoreFollower } from "./storeFollower.js";
import { StoreSource } from "./storeSource.js";

const DEFAULT_SETTINGS_PATH = "/etc/baobabspread/settings.toml";
const INTERNAL_ERROR_EXIT_CODE = 1;
/** Part of the time reserved for the end in which the directory and the readiness check end. */
const LOOKUP_CLOSE_MS = 80;
/** The platform writes a settings file of a few kilobytes in much less time. */
const SETTINGS_WAIT_MS = 2000;

let log = LogSink.create({});
/** Set while callers are to get answers. */
let servedAddress: ListenAddress | undefined;
let endRequests = (_timeoutMs: number): Promise<void> => Promise.resolve();

async function runRouter(): Promise<void> {
    const getNow = (): number => performance.now();
    const startStop = new AbortController();
    startupSignals.attach("SIGTERM", () => startStop.abort());
    const path = process.argv[2] ?? process.env["BAOBABSPREAD_NODE_FILE"] ?? DEFAULT_SETTINGS_PATH;
    const text = await readWholeJson(path, {
        deadline: getNow() + SETTINGS_WAIT_MS,
        stopSignal: startStop.signal,
        getNow,
        onWait: reason => {
            log.write("settings-awaited", { path, reason });
            // Written before the log that names the instance replaces this one.
            log.flush();
        },
    });
    const settings = parseSettings(text, readDescriptorLimit());
    log = LogSink.create({ instance: settings.router.instance });
    startupSignals.observe((signal, action) => log.write("signal-received", { signal, action }));
    const { locality, maxDescriptors } = settings.router;
    log.write("started", { dataCentre: locality.dataCentre, maxDescriptors });
    startupSignals.attach("SIGHUP", () => {
        // All settings describe the machine and stay the same while the process runs, so nothing is reloaded.
        log.write("reload-requested", {});
    });
    const ports = PortBinder.create({
        deadline: getNow() + settings.portWaitMs,
        stopSignal: startStop.signal,
        getNow,
        writeLog: (event, fields) => log.write(event, fields),
    });
    const getTimeOfDay = (): number => Date.now();
    const store = StoreSource.create({ address: settings.storeAddress, getNow, getTimeOfDay });
    const metrics = RouterMetrics.create();
    const errorBoundary = ErrorBoundary.create({
        log,
        onError: () => metrics.countInternalError(),
        onFatal: createErrorEnd({
            log,
            isServing: createServiceCheck(() => servedAddress),
            endRequests: timeoutMs => endRequests(timeoutMs),
            exit: () => process.exit(INTERNAL_ERROR_EXIT_CODE),
        }),
        getNow,
    });
    process.on("uncaughtException", error => errorBoundary.recordUncaught("process", error));
    process.on("unhandledRejection", error => errorBoundary.recordUncaught("promise", error));
    const router = await Router.create({
        settings: settings.router,
        wire: platformWireFormat,
        log,
        metrics,
        errorBoundary,
        ports,
    });
    endRequests = timeoutMs => router.endRequests(timeoutMs);
    const lookup = await startServers(router, {
        ports,
        errorBoundary,
        directoryAddress: settings.directoryAddress,
        readinessAddress: settings.readinessAddress,
        limits: computeServerLimits(settings.router),
        termSeconds: settings.router.addressTermSeconds,
        listAddresses: (caller, host) => router.listCallerAddresses(caller, host),
        isReady: () => router.isReady(),
        renderMetrics: () => metrics.render(),
        routePage: createRoutePage({
            settings: settings.router,
            resolver: router.resolver,
            log,
            metrics,
            errorBoundary,
            getNow,
        }),
        onLookup: (dataCentre, caller, addresses) =>
            log.write("addresses-answered", { dataCentre, caller, count: addresses.length }),
    });
    endRequests = async timeoutMs => {
        const now = getNow();
        await Promise.all([router.endRequests(timeoutMs), lookup.close(planEnd(now, now + timeoutMs))]);
    };
    servedAddress = settings.router.callerAddress;
    const follower = StoreFollower.create({
        source: router.createChangeSource((after, isUrgent) => store.read(after, isUrgent)),
        targetDirectory: router.view.targets,
        log,
        getNow,
        getRandom: () => Math.random(),
        wait: ms => new Promise(resolve => setTimeout(resolve, ms)),
        onConfiguration: configuration => router.view.applyConfiguration(configuration),
        onTargets: () => router.view.updateTargets(),
        onEvacuated: dataCentres => router.view.setEvacuated(dataCentres),
        onConfirmed: (at, timeOfDay) => router.view.recordConfirmation(at, timeOfDay),
    });
    log.write("listening", {});
    const stop = createPlannedEnd({
        log,
        stop: async () => {
            servedAddress = undefined;
            await router.stop();
            follower.stop();
            const now = getNow();
            await lookup.close({ answerBy: now + LOOKUP_CLOSE_MS / 2, closeBy: now + LOOKUP_CLOSE_MS });
            store.close();
        },
        exit: code => process.exit(code),
    });
    startupSignals.attach("SIGTERM", stop);
    if (startStop.signal.aborted) {
        stop();
    }
    await follower.run();
}

runRouter().catch((error: unknown) =>
    endStart(error, { log, endRequests, exit: code => process.exit(code) })
);
