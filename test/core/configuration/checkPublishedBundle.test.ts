import test from "ava";
import { createHash } from "node:crypto";
import { gzipSync } from "node:zlib";
import { decodeText } from "../../../src/adapters/platform/decodeText.js";
import { buildBundle } from "../../../src/core/configuration/buildBundle.js";
import { checkPublishedBundle } from "../../../src/core/configuration/checkPublishedBundle.js";
import { makeConfiguration } from "../../../src/testing/makeConfiguration.js";

const hashText = (text: string): string => createHash("sha256").update(text).digest("hex");
const encode = (text: string): string => gzipSync(text).toString("base64");
const plain = buildBundle(makeConfiguration(), 7, hashText);
const version = { revision: plain.revision, digest: plain.digest };
const compressed = {
    ...version,
    encoding: "gzip+base64",
    data: encode(JSON.stringify(plain.configuration)),
};
const check = (value: unknown) => checkPublishedBundle(value, { hashText, decodeText });

test("accepts the plain and the compressed form of a bundle with the same result", t => {
    t.deepEqual(check(compressed), check(plain));
    t.deepEqual(check(compressed).faults, []);
});

// A rejected bundle keeps its version, so that it counts as seen and is not fetched again.
const rows: readonly (readonly [string, object, RegExp])[] = [
    ["truncated data", { data: compressed.data.slice(0, 40) }, /^data: /],
    ["data that is not JSON", { data: encode("{") }, /^data: /],
    ["data of a configuration without objects", { data: encode("{}") }, /^regions: /],
    ["data that expands beyond the size limit", { data: encode(" ".repeat(5_000_000)) }, /^data: /],
    ["an unknown encoding", { encoding: "brotli" }, /^encoding: /],
    ["a field of the plain form beside the data", { configuration: plain.configuration }, /configuration/],
    ["a wrong digest", { digest: "0".repeat(64) }, /^digest: /],
];
for (const [name, change, fault] of rows) {
    test(`rejects: ${name}`, t => {
        const result = check({ ...compressed, ...change });
        t.is(result.bundle, undefined);
        t.deepEqual(result.version, { ...version, ...("digest" in change ? change : {}) });
        t.regex(result.faults[0] ?? "", fault);
    });
}
