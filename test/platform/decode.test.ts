import test from "ava";
import { SettingsError } from "../../src/core/errors/settingsError.js";
import { decodeConfiguration } from "../../src/platform/decodeConfiguration.js";
import { decodeTarget } from "../../src/platform/decodeTarget.js";
import { parseSettings } from "../../src/platform/parseSettings.js";
import { readDescriptorLimit } from "../../src/shared/readDescriptorLimit.js";
import { buildFleetConfiguration } from "../../src/testing/platform/buildFleetConfiguration.js";
import { listOddConfigurations } from "../testing/platform/oddConfigurations.js";
import { listOddEntries } from "../testing/platform/oddEntries.js";

const ENTRY = {
    service: "s",
    address: "10.0.0.1:8080",
    zone: "a",
    slots: 4,
    state: "ready",
    coldRemainingMs: 500,
    born: 17,
    sequence: 1,
    version: "v1",
};

test("decodes a target registration and turns its remaining cold time into a deadline", t => {
    t.deepEqual(decodeTarget("t1", Buffer.from(JSON.stringify(ENTRY)), 100), {
        id: "t1",
        service: "s",
        address: "10.0.0.1:8080",
        dataCentre: "a",
        slots: 4,
        isDraining: false,
        coldUntil: 600,
        startedAtMs: 17,
        sequence: 1,
        version: "v1",
    });
    for (const version of [7, {}, null, undefined]) {
        const value = Buffer.from(JSON.stringify({ ...ENTRY, version }));
        t.is(decodeTarget("t1", value, 100)?.version, undefined);
    }
});

test("decodes a target that leaves as draining, so that it gets no more requests", t => {
    const value = Buffer.from(JSON.stringify({ ...ENTRY, state: "draining" }));
    t.true(decodeTarget("t1", value, 100)?.isDraining);
});

test("ignores store entries that are not valid target registrations", t => {
    const faulty = ["", "null", "[]", "7", "\u0000", JSON.stringify({ ...ENTRY, state: "odd" })];
    const missing = ["service", "address", "zone", "slots", "state"]
        .map(name => JSON.stringify({ ...ENTRY, [name]: undefined }));
    for (const value of [...faulty, ...missing]) {
        t.is(decodeTarget("t1", Buffer.from(value), 0), undefined, value);
    }
});

/** Names that a service may have, though none is called so. */
const OTHER_SERVICES: readonly string[] = ["__proto__", "constructor"];

// A target with an impossible address, or at another target's address under an odd name, got requests that then failed.
test("ignores entries of other writers whose fields no target may write", t => {
    const prefix = "servers/";
    for (const [name, entries] of listOddEntries(ENTRY)) {
        for (const { key, value } of entries.filter(entry => entry.key.startsWith(prefix))) {
            const text = typeof value === "string" ? value : JSON.stringify(value);
            const target = decodeTarget(key.slice(prefix.length), Buffer.from(text), 0);
            const isOther = target?.isDraining === true || OTHER_SERVICES.includes(target?.service ?? "");
            t.true(target === undefined || isOther, `${name} ${key}`);
        }
    }
});

test("decodes registrations that are unusual but sound", t => {
    const decode = (fields: object): ReturnType<typeof decodeTarget> =>
        decodeTarget("i-7f3a91c2", Buffer.from(JSON.stringify({ ...ENTRY, ...fields })), 100);
    for (const version of [undefined, null, 7, { a: 1 }, "v2"]) {
        t.truthy(decode({ version }), String(version));
    }
    t.like(decode({ born: Number.MAX_SAFE_INTEGER }), { startedAtMs: Number.MAX_SAFE_INTEGER });
    t.like(decode({ coldRemainingMs: -0.5 }), { coldUntil: 100 });
    t.like(decode({ coldRemainingMs: undefined, born: undefined, sequence: undefined }), {
        coldUntil: 100,
        startedAtMs: 0,
        sequence: 0,
    });
    t.like(decode({ address: "255.255.255.255:65535" }), { address: "255.255.255.255:65535" });
});

test("sorts routes by longest path prefix and maps keys to their client account", t => {
    const configuration = decodeConfiguration(Buffer.from(JSON.stringify({
        version: 7,
        routes: [
            {
                name: "r1",
                host: "H.example",
                pathPrefix: "/a/",
                kind: "streaming",
                service: "s",
                resumable: true,
            },
            {
                name: "r2",
                host: "h.example",
                pathPrefix: "/a/b/",
                kind: "unsafe",
                service: "s",
                resumable: true,
            },
        ],
        services: [{ name: "s", engine: { slots: 64, kvTokens: 1000 } }],
        limits: {},
        tenants: [{ name: "x", apiKeys: ["k1", "k2"] }],
    })));
    const routes = configuration.routesByHost.get("h.example") ?? [];
    t.deepEqual(routes.map(route => [route.name, route.kind, route.isResumable]), [
        ["r2", "unsafe", false],
        ["r1", "stream", true],
    ]);
    t.is(configuration.accountsByKey.get("k2")?.name, "x");
});

test("rejects a configuration without a version", t => {
    t.throws(() => decodeConfiguration(Buffer.from("{}")), { instanceOf: TypeError });
});

// A timeout of 1e999 made each response end with an error that nobody caught, and with 51 of them in ten seconds the
// process; a version of 1e308 kept every later configuration from being adopted.
test("rejects a configuration that is none, or has numbers that no timer or comparison can use", t => {
    for (const text of listOddConfigurations(["k"])) {
        t.throws(() => decodeConfiguration(Buffer.from(text)), undefined, text.slice(-100));
    }
});

test("decodes a configuration without accounts, limits or services", t => {
    const { routes } = buildFleetConfiguration({ version: 1, engineSlots: 1, apiKeys: [] }) as {
        readonly routes: readonly object[];
    };
    for (const missing of [undefined, null]) {
        const fields = { version: 1, routes, services: missing, limits: missing, tenants: missing };
        const configuration = decodeConfiguration(Buffer.from(JSON.stringify(fields)));
        t.false(configuration.hasAccounts);
        t.is(configuration.limits.idleTimeoutMs, 15_000);
    }
});

test("rejects invalid settings and names each invalid field", t => {
    const error: unknown = t.throws(() => parseSettings(JSON.stringify({ instance: "" })));
    const faults = error instanceof SettingsError ? error.faults : [];
    t.true(faults.some(fault => fault.startsWith("instance:")));
    t.true(faults.some(fault => fault.startsWith("storeAddress:")));
    t.throws(() => parseSettings("no json"), { name: "SettingsError" });
});

const SETTINGS = {
    instance: "i",
    dataCentre: "a",
    region: "r",
    dataCentres: { a: "r" },
    callerAddress: "10.0.0.1:1",
    readinessAddress: "10.0.0.1:2",
    directoryAddress: "10.0.0.1:3",
    host: "10.0.0.1",
    peerPort: 4,
    seedAddresses: [],
    storeAddress: "10.0.0.2:1",
    processorShare: 1,
    processorSpeed: 1,
    memoryMb: 256,
    stopTimeoutSeconds: 8,
    strictRevocation: true,
    revocationMs: 5000,
    catchUpMs: 4000,
    targetChangeMs: 6000,
    configurationChangeMs: 6000,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    coldFactor: 1.5,
    coldSlack: 5,
    maxAddressTermSeconds: 5,
};

test("bounds the connections by the descriptors of the settings, which older settings do not name", t => {
    const parse = (fields: object): number =>
        parseSettings(JSON.stringify({ ...SETTINGS, ...fields }), 200).router.maxDescriptors;
    t.is(parse({ maxDescriptors: 4100 }), 4100);
    t.is(parse({}), 200);
    t.is(parseSettings(JSON.stringify(SETTINGS)).router.maxDescriptors, Number.MAX_SAFE_INTEGER);
    t.throws(() => parse({ maxDescriptors: "4100" }), { name: "SettingsError" });
    t.true((readDescriptorLimit() ?? 0) > 0 || process.platform !== "linux");
});

test("takes the shortest of the bounds for targets, configurations and keys as the delay of changes", t => {
    const parse = (fields: object): number =>
        parseSettings(JSON.stringify({ ...SETTINGS, ...fields })).router.maxChangeDelayMs;
    t.is(parse({ targetChangeMs: 2500 }), 2500);
    t.is(parse({ configurationChangeMs: 4000 }), 4000);
    t.true(parse({}) < 5000);
    t.is(parse({ strictRevocation: false }), 6000);
    t.throws(() => parse({ catchUpMs: "4000" }), { name: "SettingsError" });
});

test("waits for ports longer than the planned stop of a predecessor and a closed connection last, unless told otherwise", t => {
    const parse = (fields: object): number =>
        parseSettings(JSON.stringify({ ...SETTINGS, ...fields })).portWaitMs;
    t.true(parse({ stopTimeoutSeconds: 8 }) > 8000 + 60_000);
    t.is(parse({ portWaitSeconds: 1.5 }), 1500);
    t.throws(() => parse({ portWaitSeconds: "2" }), { name: "SettingsError", message: /portWaitSeconds/u });
});

// Guards against a limit that ends each body, and against one that is ignored.
test("ends stalled bodies after the time that is set, which must be 1 s to 1 h", t => {
    const parse = (fields: object): number | undefined =>
        parseSettings(JSON.stringify({ ...SETTINGS, ...fields })).router.bodyIdleMs;
    t.is(parse({}), undefined);
    t.is(parse({ bodyIdleSeconds: 2.5 }), 2500);
    for (const bodyIdleSeconds of [0, 0.9, 3601, "5", -1]) {
        t.throws(() => parse({ bodyIdleSeconds }), { name: "SettingsError", message: /bodyIdleSeconds/u });
    }
    // A text would switch the part on or off without a word.
    for (const name of ["reservesReturns", "sharesIdleCapacity"]) {
        t.throws(() => parse({ [name]: "false" }), { name: "SettingsError", message: new RegExp(name, "u") });
    }
});
