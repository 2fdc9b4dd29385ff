import { buildFleetConfiguration } from "../../../src/testing/platform/buildFleetConfiguration.js";

const NESTING = 100_000;
const NESTED = "[".repeat(NESTING) + "]".repeat(NESTING);
const ENGINE_SLOTS = 16;
/** Above each version that a test fleet publishes itself. */
const FIRST_VERSION = 100;
const ODD_NUMBERS = ["1e999", "-1e999", "-6000", "1e300"];
const NUMBERS = ["timeoutMs", "targetLatencyMs", "maxAttempts", "idleTimeoutMs", "maxBodyBytes"];

/** Lists texts under the key of the configuration that are none, with ever higher versions if they name one. */
export function listOddConfigurations(apiKeys: readonly string[]): readonly string[] {
    const texts = [
        ...["", "\u0000", "7", "null", "[]", "{", "{}", NESTED, '{"version":"9"}'],
        ...["1e308", "1e999", "9007199254740993", "-1", "1.5", "null"].map(version =>
            buildText(0, apiKeys).replace('"version":0', `"version":${version}`)
        ),
    ];
    const parts = ["routes", "services", "tenants", "limits"].flatMap(name =>
        ["[null]", "[7]", "7", NESTED, "[{}]", `[${NESTED}]`].map(json => [name, json] as const)
    );
    parts.forEach(([name, json], i) =>
        texts.push(buildText(FIRST_VERSION + i, apiKeys).replace(/\}$/, `,"${name}":${json}}`))
    );
    const numbers = NUMBERS.flatMap(name => ODD_NUMBERS.map(json => [name, json] as const));
    numbers.forEach(([name, json], i) => {
        const text = buildText(FIRST_VERSION + parts.length + i, apiKeys);
        texts.push(text.replace(new RegExp(`"${name}":[0-9]+`, "g"), `"${name}":${json}`));
    });
    return texts;
}

function buildText(version: number, apiKeys: readonly string[]): string {
    return JSON.stringify(buildFleetConfiguration({ version, engineSlots: ENGINE_SLOTS, apiKeys }));
}
