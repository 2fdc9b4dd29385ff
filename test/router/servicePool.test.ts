import test from "ava";
import { AdmissionPressure } from "../../src/core/admission/admissionPressure.js";
import { AccountUsage } from "../../src/core/routing/accountUsage.js";
import { PromptLocations } from "../../src/core/routing/promptLocations.js";
import type { RoutedService } from "../../src/core/routing/routedService.js";
import type { RouterConfiguration } from "../../src/core/routing/routerConfiguration.js";
import type { RouterSettings } from "../../src/router/routerSettings.js";
import { ServicePool } from "../../src/router/servicePool.js";
import { createCrashRecord } from "../testing/createCrashRecord.js";
import { createLimiter } from "../testing/createLimiter.js";
import { createTargetNotices } from "../testing/createTargetNotices.js";
import { makeRoutedRequest } from "../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";

const SETTINGS = {
    locality: { dataCentre: "a", region: "r" },
    regionsByDataCentre: new Map([["a", "r"]]),
    coldFactor: 1,
    coldSlack: 5,
    retryRatio: 1,
    retryWindowMs: 10_000,
} as unknown as RouterSettings;

function makeService(name: string): RoutedService {
    return {
        name,
        maxConnections: 10,
        warmupMs: 0,
        coldRequestsPerSecond: 0,
        shortestObjectiveMs: 400,
        engine: undefined,
    };
}

/** Makes a pool of the services `s` and `other`. */
function createPool(reservesReturns: boolean): ServicePool {
    const pool = ServicePool.create({
        pressure: AdmissionPressure.create(),
        settings: { ...SETTINGS, reservesReturns },
        usage: AccountUsage.create(4000),
        promptLocations: PromptLocations.create(),
        crashRecord: createCrashRecord(),
        limits: createLimiter(),
        notices: createTargetNotices(),
        getTokensPerSecond: () => 0,
        getColdShare: () => undefined,
        mayBegin: () => true,
        mayGoOn: () => true,
    });
    const services = [makeService("s"), makeService("other")];
    pool.applyConfiguration({
        services: new Map(services.map(service => [service.name, service])),
    } as unknown as RouterConfiguration);
    return pool;
}

// A target that had left stayed in use if an error ended the update of another service, until the next change.
test("gives each service its new targets, whatever happens to a request of another service that waits for one", t => {
    const pool = createPool(false);
    pool.setTargets([makeTargetDescriptor("left", { service: "other" })], new Set(), 0);
    pool.find("s")?.scheduler.enqueue({
        request: makeRoutedRequest(),
        excludedTargets: new Set(),
        isResume: false,
        onGrant: () => {
            throw new Error("unexpected");
        },
        onRefuse: () => t.fail("refused"),
        onError: () => t.fail("error"),
    }, 0);
    t.throws(() => pool.setTargets([makeTargetDescriptor("new")], new Set(), 10), { message: "unexpected" });
    t.deepEqual([...pool.find("other")?.scheduler.targets.keys() ?? []], []);
});

// The setting must reach each service, or promises are never made, or made where nobody asked for them.
for (const reservesReturns of [true, false]) {
    test(`promises capacity where the setting is ${reservesReturns}, and counts the promises of all services`, t => {
        const pool = createPool(reservesReturns);
        const request = makeRoutedRequest();
        pool.setTargets(
            ["s", "other"].map(service => makeTargetDescriptor(`t-${service}`, { service })),
            new Set(),
            0,
        );
        for (const name of ["s", "other"]) {
            const returns = pool.find(name)?.scheduler.returns;
            t.is(returns?.isActive, reservesReturns);
            const waiting = { request, excludedTargets: new Set<string>(), isResume: false };
            const callbacks = {
                onGrant: () => undefined,
                onRefuse: () => undefined,
                onError: () => undefined,
            };
            for (let i = 0; i < 10; i += 1) {
                returns?.recordDecision(
                    { ...waiting, ...callbacks },
                    { kind: "granted", grant: {} as never },
                    0,
                );
            }
            returns?.planReturn(request, { earliestMs: 0, estimatedMs: 0, readingMs: 0 }, 0);
        }
        t.deepEqual(pool.countPromises(0), { open: reservesReturns ? 2 : 0, kept: 0, lapsed: 0 });
    });
}
