import test from "ava";
import { validateConfiguration } from "../../../src/core/configuration/validateConfiguration.js";
import { makeConfiguration } from "../../../src/testing/makeConfiguration.js";

const valid = makeConfiguration();
const [account] = valid.clientAccounts;
const [target] = valid.targets;
const [service] = valid.services;

function listPaths(change: object): readonly string[] {
    return validateConfiguration({ ...valid, ...change }).faults.map(fault => fault.split(":")[0] ?? "");
}

test("accepts a valid configuration without faults", t => {
    t.deepEqual(validateConfiguration(valid), { configuration: valid, faults: [] });
});

// Each row is a configuration that would break the fleet if it were published.
const rows: readonly (readonly [string, object, readonly string[]])[] = [
    ["target in an unknown data centre", { targets: [{ ...target, dataCentre: "aber-a" }] }, [
        "targets.0.dataCentre",
    ]],
    ["target of an unknown service", { targets: [{ ...target, service: "desk" }] }, ["targets.0.service"]],
    ["data centre in an unknown region", { regions: [] }, ["dataCentres.0.region"]],
    ["unknown share", { shares: [] }, ["clientAccounts.0.share"]],
    [
        "account with an unknown service",
        { clientAccounts: [{ ...account, services: ["model-desk", "desk"] }] },
        ["clientAccounts.0.services.1"],
    ],
    ["duplicate name", { targets: [target, target] }, ["targets.1.name"]],
    ["share of weight 0", { shares: [{ name: "standard", weight: 0 }] }, ["shares.0.weight"]],
    ["plain service without methods", { services: [{ ...service, kind: "plain" }] }, [
        "services.0.nonRepeatableMethods",
    ]],
    ["one key in two accounts", { clientAccounts: [account, { ...account, name: "eglwys" }] }, [
        "clientAccounts.1.keyDigests.0",
    ]],
    ["unknown field", { targets: [{ ...target, weight: 1 }] }, ["targets.0"]],
    ["unknown kind", { pools: [] }, ["configuration"]],
    ["all faults at once", { regions: [], shares: [{ name: "standard", weight: -1 }], targets: [{}] }, [
        "shares.0.weight",
        "targets.0.name",
        "targets.0.service",
        "targets.0.dataCentre",
        "targets.0.url",
        "targets.0.slotLimit",
        "dataCentres.0.region",
    ]],
];
for (const [name, change, paths] of rows) {
    test(`rejects: ${name}`, t => t.deepEqual(listPaths(change), paths));
}

test("rejects two names with the same hash, which daemons could not tell apart", t => {
    // Found by a search over generated names; both hash to the same 32 bits.
    const collision = ["dc-123", "dc-103863"].map(name => ({ name, region: "de-cymru", inService: true }));
    t.deepEqual(listPaths({ dataCentres: [...valid.dataCentres, ...collision] }), ["dataCentres.2.name"]);
});

test("rejects a configuration too large for one message between daemons", t => {
    const targets = Array.from({ length: 21_000 }, (_, index) => ({ ...target, name: `engine-${index}` }));
    t.deepEqual(listPaths({ targets }), ["configuration"]);
});
