import test from "ava";
import { readFile } from "node:fs/promises";
import { z } from "zod";
import { configurationSchema } from "../../src/core/configuration/configurationSchema.js";
import { validateConfiguration } from "../../src/core/configuration/validateConfiguration.js";
import { daemonSettingsSchema } from "../../src/daemon/daemonSettingsSchema.js";
import { readDaemonSettings } from "../../src/daemon/readDaemonSettings.js";

const root = new URL("../../../", import.meta.url);

async function readJson(path: string): Promise<unknown> {
    return JSON.parse(await readFile(new URL(path, root), "utf8")) as unknown;
}

for (const name of ["taf-co-op", "hafnarvik"]) {
    test(`the example ${name} is valid and has the expected numbers of targets, accounts and data centres`, async t => {
        const { configuration, faults } = validateConfiguration(await readJson(`examples/${name}.json`));
        t.deepEqual(faults, []);
        const kinds = new Map(configuration?.services.map(service => [service.name, service.kind]));
        const countTargets = (kind: string): number | undefined =>
            configuration?.targets.filter(target => kinds.get(target.service) === kind).length;
        t.deepEqual([countTargets("model"), countTargets("plain")], [12, 3]);
        t.deepEqual([configuration?.clientAccounts.length, configuration?.dataCentres.length], [16, 3]);
    });
}

test("the example daemon settings are valid", async t => {
    const settings = await readDaemonSettings(new URL("examples/daemon.json", root).pathname, {
        stopSignal: new AbortController().signal,
        onWait: () => t.fail(),
    });
    t.is(settings.instance, "caerdydd-a-1");
});

test("the committed JSON Schemas match the code; scripts/generateSchemas.mjs updates them", async t => {
    t.deepEqual(await readJson("schemas/configuration.json"), toPlainSchema(configurationSchema));
    t.deepEqual(await readJson("schemas/daemonSettings.json"), toPlainSchema(daemonSettingsSchema));
});

function toPlainSchema(schema: z.ZodType): unknown {
    return JSON.parse(JSON.stringify(z.toJSONSchema(schema, { io: "input" })));
}
