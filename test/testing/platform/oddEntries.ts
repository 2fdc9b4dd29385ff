interface OddEntry {
    readonly key: string;
    /** A string is written as it is, anything else as JSON. */
    readonly value: unknown;
}

type Registration = Readonly<Record<string, unknown>>;

const NESTING = 100_000;
const NESTED = "[".repeat(NESTING) + "]".repeat(NESTING);
const LARGE_BYTES = 700_000;
const LARGE = "x".repeat(LARGE_BYTES);
const MANY = 2000;
const LONG_NAME = "a".repeat(180);
const ODD_KEYS = [
    "servers/",
    "servers//",
    "servers/a/b",
    "servers/a b",
    "servers/a\u0000b",
    "servers/a\r\nx: y",
    "servers/ü",
    "servers/\u{1F600}",
    "servers/\uFFFF",
    "servers",
    "Servers/x",
    "unknown/x",
    "\u0000",
    "op",
    "op/",
    "op/config/x",
    "op/configuration",
];
/** Keys that name a server, whose entries say that it leaves. */
const NAMING_KEYS = ["servers/__proto__", "servers/constructor", `servers/${LONG_NAME}`];
const ODD_BYTES = ["", "\u0000", "x", "7", "null", "[]", "{", NESTED, `{"a":${NESTED}}`];
/** JSON of values that are no number a server may write. */
const ODD_NUMBERS = ["null", "{}", "[]", "true", '"x"', "1e999", "-1e999", "1e300", NESTED];
const ODD_NAMES = ["null", "{}", "[]", "true", "7", NESTED, JSON.stringify(LARGE)];
const ODD_ADDRESSES = [
    "127.0.0.1:0",
    "127.0.0.1:99999",
    "127.0.0.1:65536",
    "127.0.0.1:-1",
    "127.0.0.1:1e3",
    "999.1.1.1:80",
    "256.0.0.1:80",
    "127.0.0.1",
    "127.0.0.1:",
    "localhost:80",
    "[::1]:80",
    "127.0.0.1:80\n",
];
const ODD_EVACUATIONS = ["", "/", "__proto__", "ü", "a/b", "\u0000", LONG_NAME, "A"];

/**
 * Lists entries that other writers may leave in the store and that name no server to use, by class.
 *
 * @param sound Registration of a target in use.
 */
export function listOddEntries(sound: Registration): ReadonlyMap<string, readonly OddEntry[]> {
    // A repeated name of a JSON object overrides the value before.
    const replaceField = (name: string, json: string): string =>
        JSON.stringify(sound).replace(/\}$/, `,"${name}":${json}}`);
    const listFields = (name: string, values: readonly string[]): readonly OddEntry[] =>
        values.map((json, i) => ({ key: `servers/odd-${name}-${i}`, value: replaceField(name, json) }));
    return new Map<string, readonly OddEntry[]>([
        ["keys", [
            ...ODD_KEYS.map(key => ({ key, value: sound })),
            ...NAMING_KEYS.map(key => ({ key, value: { ...sound, state: "draining" } })),
        ]],
        ["bytes", ODD_BYTES.map((value, i) => ({ key: `servers/odd-bytes-${i}`, value }))],
        ["addresses", listFields("address", ODD_ADDRESSES.map(address => JSON.stringify(address)))],
        ["slots", listFields("slots", [...ODD_NUMBERS, "-1", "0", "1.5", "9007199254740993"])],
        ["cold", listFields("coldRemainingMs", ODD_NUMBERS)],
        ["born", listFields("born", [...ODD_NUMBERS, "-1", "1.5", "9007199254740993"])],
        ["sequence", listFields("sequence", [...ODD_NUMBERS, "-1", "1.5", "9007199254740993"])],
        ["names", [
            ...listFields("service", [...ODD_NAMES, '"__proto__"', '"constructor"', '""']),
            ...listFields("zone", [...ODD_NAMES, '""']),
            ...listFields("state", [...ODD_NAMES, '""', '"READY"', '"__proto__"']),
        ]],
        ["large", [
            { key: "servers/odd-large-1", value: LARGE },
            { key: "servers/odd-large-2", value: { ...sound, address: "127.0.0.1:0", note: LARGE } },
            { key: "unknown/large", value: LARGE },
        ]],
        [
            "many",
            Array.from({ length: MANY }, (_, i) => ({
                key: `servers/odd-many-${i}`,
                value: { ...sound, address: "127.0.0.1:99999" },
            })),
        ],
        ["evacuations", ODD_EVACUATIONS.map(name => ({ key: `op/evacuate/${name}`, value: NESTED }))],
    ]);
}
