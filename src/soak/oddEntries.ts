const NESTING_LEVELS = 100_000;

function createEntry(fields: string): string {
    const sound = '"service":"engine","address":"127.0.0.1:9","zone":"a","slots":4,"state":"ready"';
    return `{${sound},"coldRemainingMs":0,"sequence":1,"born":1,"version":"v1",${fields}}`;
}

/** Values that another writer of the store may leave among the registrations of targets; none of them names a target. */
export const oddEntries: readonly string[] = [
    createEntry('"address":"127.0.0.1:99999"'),
    createEntry('"address":"127.0.0.1:0"'),
    createEntry('"address":"999.1.1.1:80"'),
    createEntry('"slots":1e300'),
    createEntry('"slots":-1e999'),
    createEntry('"sequence":1e999'),
    createEntry('"born":1e308'),
    createEntry('"coldRemainingMs":1e999'),
    createEntry('"version":{"a":[]}'),
    createEntry('"version":null'),
    createEntry(`"extra":${"[".repeat(NESTING_LEVELS)}${"]".repeat(NESTING_LEVELS)}`),
    createEntry(`"version":${'{"a":'.repeat(NESTING_LEVELS)}1${"}".repeat(NESTING_LEVELS)}`),
    '{"__proto__":{"service":"engine"},"constructor":1}',
    "\u0000\uFFFD{",
    "[]",
    "null",
];
