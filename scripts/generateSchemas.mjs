// Generates the committed JSON Schemas from the schemas of the program; run after `npm run build`.
import { mkdirSync, writeFileSync } from "node:fs";
import { z } from "zod";
import { configurationSchema } from "../dist/src/core/configuration/configurationSchema.js";
import { daemonSettingsSchema } from "../dist/src/daemon/daemonSettingsSchema.js";

mkdirSync("schemas", { recursive: true });
for (
    const [name, schema] of [["configuration", configurationSchema], ["daemonSettings", daemonSettingsSchema]]
) {
    const text = JSON.stringify(z.toJSONSchema(schema, { io: "input" }), undefined, 4);
    writeFileSync(`schemas/${name}.json`, `${text}\n`);
}
