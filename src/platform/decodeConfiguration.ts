import type { RoutedAccount } from "../core/routing/routedAccount.js";
import type { RoutedService } from "../core/routing/routedService.js";
import type { RouteKind } from "../core/routing/routeKind.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import type { RouteRule } from "../core/routing/routeRule.js";

type Fields = Readonly<Record<string, unknown>>;

const KINDS: Readonly<Record<string, RouteKind>> = { safe: "safe", unsafe: "unsafe", streaming: "stream" };
const MS_PER_SECOND = 1000;
/** Objective of a service that no route names. */
const DEFAULT_OBJECTIVE_MS = 10_000;

/**
 * Decodes the operators' configuration.
 *
 * @throws SyntaxError when it is not JSON; TypeError when it is not of the expected form.
 */
export function decodeConfiguration(value: Buffer): RouterConfiguration {
    const fields = readFields(JSON.parse(value.toString("utf8")), "configuration");
    const limits = readFields(fields["limits"] ?? {}, "limits");
    const version = fields["version"];
    if (!Number.isSafeInteger(version) || Number(version) < 0) {
        throw new TypeError("The configuration has no version.");
    }
    const routes = readList(fields["routes"]).map(decodeRoute);
    const services = readList(fields["services"]).map(service => decodeService(service, routes));
    return {
        version: Number(version),
        routesByHost: buildRouteIndex(routes),
        services: new Map(services.map(service => [service.name, service])),
        hasAccounts: Array.isArray(fields["tenants"]) && fields["tenants"].length > 0,
        accountsByKey: buildAccountIndex(readList(fields["tenants"])),
        limits: {
            maxHeaderBytes: readNumber(limits["maxHeaderBytes"], 16_384),
            maxBodyBytes: readNumber(limits["maxBodyBytes"], 4_194_304),
            headerTimeoutMs: readNumber(limits["headerTimeoutMs"], 3000),
            idleTimeoutMs: readNumber(limits["idleTimeoutMs"], 15_000),
            tokensPerSecond: readNumber(limits["tokensPerS"], 0),
        },
    };
}

function readFields(value: unknown, name: string): Fields {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        throw new TypeError(`The ${name} of the configuration has no fields.`);
    }
    return value as Fields;
}

/** A list that is missing is empty. */
function readList(value: unknown): readonly Fields[] {
    const list: unknown = value ?? [];
    if (!Array.isArray(list)) {
        throw new TypeError("A list of the configuration is no list.");
    }
    return list.map(entry => readFields(entry, "list entry"));
}

function readText(fields: Fields, name: string): string {
    const value = fields[name];
    if (typeof value !== "string") {
        throw new TypeError(`The configuration has an entry without a ${name}.`);
    }
    return value;
}

/** A time of 1e999 or below zero would fail wherever a timer is set with it. */
function readNumber(value: unknown, fallback: number): number {
    if (typeof value !== "number") {
        return fallback;
    }
    if (value < 0 || value > Number.MAX_SAFE_INTEGER) {
        throw new TypeError(`The configuration has the number ${value}.`);
    }
    return value;
}

function readStrings(value: unknown): readonly string[] {
    return Array.isArray(value) ? value.map(String) : [];
}

function decodeRoute(fields: Fields): RouteRule {
    const backends = readList(fields["backends"]);
    const kind = KINDS[String(fields["kind"])] ?? "unsafe";
    const timeoutMs = readNumber(fields["timeoutMs"], 10_000);
    return {
        name: String(fields["name"]),
        host: readText(fields, "host").toLowerCase(),
        pathPrefix: readText(fields, "pathPrefix"),
        kind,
        timeoutMs,
        objectiveMs: readNumber(fields["targetLatencyMs"], timeoutMs),
        backends: backends.length > 0
            ? backends.map(backend => ({
                service: readText(backend, "service"),
                weight: readNumber(backend["weight"], 1),
            }))
            : [{ service: readText(fields, "service"), weight: 1 }],
        maxAttempts: Math.max(1, readNumber(fields["maxAttempts"], 1)),
        isPublic: fields["public"] === true,
        isResumable: kind === "stream" && fields["resumable"] === true,
        regions: readStrings(fields["allowedRegions"]),
    };
}

function buildRouteIndex(routes: readonly RouteRule[]): ReadonlyMap<string, readonly RouteRule[]> {
    const byHost = new Map<string, RouteRule[]>();
    for (const route of routes) {
        const list = byHost.get(route.host) ?? [];
        list.push(route);
        byHost.set(route.host, list);
    }
    byHost.forEach(list => list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
    return byHost;
}

function decodeService(fields: Fields, routes: readonly RouteRule[]): RoutedService {
    const engine = fields["engine"] as Fields | undefined;
    const name = readText(fields, "name");
    const objectives = routes
        .filter(route => route.backends.some(backend => backend.service === name))
        .map(route => route.objectiveMs);
    return {
        name,
        shortestObjectiveMs: Math.min(DEFAULT_OBJECTIVE_MS, ...objectives),
        maxConnections: readNumber(fields["maxConnections"], 0),
        warmupMs: readNumber(fields["warmupS"], 0) * MS_PER_SECOND,
        coldRequestsPerSecond: readNumber(fields["coldPerS"], 0),
        engine: engine
            ? {
                slots: readNumber(engine["slots"], 1),
                memoryTokens: readNumber(engine["kvTokens"], 0),
                tokenBytes: readNumber(engine["kvTokenBytes"], 0),
                linkMbps: readNumber(engine["linkMbps"], 0),
            }
            : undefined,
    };
}

function buildAccountIndex(accounts: readonly Fields[]): ReadonlyMap<string, RoutedAccount> {
    return new Map(accounts.flatMap(fields => {
        const account = { name: readText(fields, "name"), regions: readStrings(fields["allowedRegions"]) };
        return readStrings(fields["apiKeys"]).map(key => [key, account] as const);
    }));
}
