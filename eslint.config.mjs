import tseslint from "typescript-eslint";

/** First words that a function or method name may have; docs/style.md explains each. */
export const verbs = [
    "abort", "accept", "acquire", "add", "adopt", "advance", "allow", "append", "apply", "assert", "attach", "build",
    "charge", "check", "claim", "clear", "close", "collect", "compare", "compute", "connect", "count", "create", "decode",
    "delete", "describe", "diff", "dispatch", "drain", "drop", "encode", "end", "ensure", "enqueue", "estimate", "evict",
    "execute", "expire", "explain", "export", "fail", "fetch", "fill", "find", "finish", "flush", "format", "forward", "get", "grant",
    "handle", "has", "hash", "inject", "is", "join", "kill", "lend", "lift", "limit", "list", "load", "lock", "log", "make", "map",
    "mark", "match", "measure", "merge", "normalize", "notify", "observe", "on", "open", "parse", "pause", "pick", "plan", "poll", "print",
    "publish", "push", "rank", "read", "receive", "record", "recover", "refuse", "register", "release", "remove", "render", "renew",
    "replace", "reply", "report", "request", "reserve", "reset", "resolve", "respond", "resume", "retry", "route", "run", "schedule",
    "select", "send", "serialize", "serve", "set", "settle", "shut", "skip", "sort", "spawn", "split", "start", "stop", "stream", "subscribe",
    "sum", "take", "to", "track", "try", "update", "validate", "verify", "wait", "watch", "withdraw", "write",
];

const verbPattern = { regex: `^(${verbs.join("|")})([A-Z0-9]|$)`, match: true };

const restrictedSyntax = [
    {
        selector: "ExportNamedDeclaration ~ ExportNamedDeclaration",
        message: "One export a file: move this export to a file of its own.",
    },
    { selector: "ThrowStatement > Literal", message: "Throw an error class, not a string." },
];

export default tseslint.config(
    { ignores: ["dist/**", "node_modules/**", "src/transport/generated/**"] },
    ...tseslint.configs.strict,
    ...tseslint.configs.stylistic,
    {
        files: ["src/**/*.ts", "test/**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "max-lines": ["error", { max: 250, skipBlankLines: true }],
            "prefer-const": "error",
            "no-restricted-syntax": ["error", ...restrictedSyntax],
            "@typescript-eslint/no-extraneous-class": "off",
            "@typescript-eslint/no-non-null-assertion": "error",
            "@typescript-eslint/no-invalid-void-type": "off",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/only-throw-error": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/consistent-type-definitions": ["error", "interface"],
            "@typescript-eslint/unified-signatures": "off",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"], custom: verbPattern },
                { selector: "classMethod", format: ["camelCase"], custom: verbPattern },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
        },
    },
    {
        files: ["src/core/**/*.ts"],
        rules: {
            "no-restricted-globals": [
                "error", "setTimeout", "setInterval", "setImmediate", "process", "fetch", "performance", "console",
            ],
            "no-restricted-properties": [
                "error",
                { object: "Date", property: "now", message: "The core takes the time as an argument." },
                { object: "Math", property: "random", message: "The core takes randomness as an argument." },
            ],
            "no-restricted-imports": ["error", {
                patterns: [
                    { group: ["node:*", "undici", "@grpc/*", "winston", "nact", "prom-client"], message: "The core does no I/O." },
                    { regex: "^(\\.\\./)+(daemon|cli|transport|adapters|observability|standIns|measure|demo)/",
                      message: "The core does not import the shell." },
                ],
            }],
        },
    },
    {
        files: ["src/standIns/**/*.ts"],
        rules: {
            "no-restricted-imports": ["error", {
                patterns: [{ regex: "/(daemon|transport|adapters)/", message: "Stand-ins do not share code with the fleet's shell." }],
            }],
        },
    },
);
