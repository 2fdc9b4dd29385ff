import test from "ava";
import type { RouterConfiguration } from "../../src/core/routing/routerConfiguration.js";
import { DeploymentView } from "../../src/router/deploymentView.js";
import type { LogSink } from "../../src/router/logSink.js";
import type { ServicePool } from "../../src/router/servicePool.js";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";

function makeConfiguration(version: number): RouterConfiguration {
    return { version } as unknown as RouterConfiguration;
}

// A store that came back from a copy offers the configuration of some seconds before.
test("adopts no configuration with a lower version than that in force", t => {
    const adopted: number[] = [];
    const view = DeploymentView.create({
        servicePool: {
            applyConfiguration: () => undefined,
            setTargets: () => undefined,
        } as unknown as ServicePool,
        log: { write: () => undefined } as unknown as LogSink,
        onTargets: () => undefined,
        onConfiguration: ({ version }) => adopted.push(version),
        onConfirmed: () => undefined,
        listPeerHosts: () => [],
        settings: { keyFreshnessMs: 5000, catchUpMs: 4000 },
        getNow: () => 0,
        getTimeOfDay: () => 0,
    });
    view.targets.set(makeTargetDescriptor("t"));
    [5, 9, 7, 9, 12].forEach(version => view.applyConfiguration(makeConfiguration(version)));
    t.deepEqual(adopted, [5, 9, 12]);
    t.is(view.configuration?.version, 12);
});

// Thousands of odd names made a line that was longer than the buffer of the log.
test("names a few evacuated data centres in the log and says how many there are", t => {
    const lines: unknown[] = [];
    const view = DeploymentView.create({
        servicePool: { setTargets: () => undefined } as unknown as ServicePool,
        log: {
            write: (event: string, fields: object) => lines.push({ event, ...fields }),
        } as unknown as LogSink,
        onTargets: () => undefined,
        onConfiguration: () => undefined,
        onConfirmed: () => undefined,
        listPeerHosts: () => [],
        settings: { keyFreshnessMs: 5000, catchUpMs: 4000 },
        getNow: () => 0,
        getTimeOfDay: () => 0,
    });
    const names = Array.from({ length: 3000 }, (_, i) => `odd-${i}`);
    view.setEvacuated(new Set(names));
    t.deepEqual(lines, [{ event: "evacuation-changed", dataCentres: names.slice(0, 20), count: 3000 }]);
});
