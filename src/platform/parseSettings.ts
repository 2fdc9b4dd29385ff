import { SettingsError } from "../core/errors/settingsError.js";
import { parseListenAddress } from "../shared/parseListenAddress.js";
import { parseSpillSettings } from "./parseSpillSettings.js";
import type { PlatformSettings } from "./platformSettings.js";

type Check = (value: unknown) => boolean;

const UNLIMITED_DESCRIPTORS = Number.MAX_SAFE_INTEGER;
const MS_PER_SECOND = 1000;
const BYTES_PER_MB = 1_048_576;
/** Part of the revocation bound that is reserved for the way to the target and for late timers. */
const REVOCATION_MARGIN_MS = 300;
/** Share of the allowed retries that is used, because instances and benchmark start their windows at different times. */
const RETRY_SHARE = 0.75;
/** Callers may cache a response for three times its term; a short term lets a busy instance shed load soon. */
const ADDRESS_TERM_SECONDS = 1;
/** Covers the kill of a predecessor that does not stop in time. */
const KILL_MARGIN_MS = 2000;
/** Linux keeps the local port of an outgoing connection for this long after its close (TCP_TIMEWAIT_LEN). */
const CLOSED_CONNECTION_MS = 60_000;
/** Without strict revocation, keys are accepted for as long as the store is unreachable. */
const UNLIMITED_MS = Number.MAX_SAFE_INTEGER;

const isText: Check = value => typeof value === "string" && value !== "";
const isAddress: Check = value => typeof value === "string" && /^[\d.]+:\d{1,5}$/.test(value);
const isNonNegativeNumber: Check = value => typeof value === "number" && Number.isFinite(value) && value >= 0;
/** Less would end bodies of callers on slow links; more has no effect, since requests have deadlines. */
const isBodyIdle: Check = value => typeof value === "number" && value >= 1 && value <= 3600;

const CHECKS: Readonly<Record<string, Check>> = {
    instance: isText,
    dataCentre: isText,
    region: isText,
    dataCentres: value => typeof value === "object" && value !== null && Object.values(value).every(isText),
    callerAddress: isAddress,
    readinessAddress: isAddress,
    directoryAddress: isAddress,
    host: isText,
    peerPort: isNonNegativeNumber,
    relayPort: value => value === undefined || isNonNegativeNumber(value),
    seedAddresses: value => Array.isArray(value) && value.every(isAddress),
    storeAddress: isAddress,
    processorShare: isNonNegativeNumber,
    processorSpeed: isNonNegativeNumber,
    memoryMb: isNonNegativeNumber,
    maxDescriptors: value => value === undefined || isNonNegativeNumber(value),
    stopTimeoutSeconds: isNonNegativeNumber,
    strictRevocation: value => typeof value === "boolean",
    revocationMs: isNonNegativeNumber,
    catchUpMs: isNonNegativeNumber,
    targetChangeMs: isNonNegativeNumber,
    configurationChangeMs: isNonNegativeNumber,
    retryRatio: isNonNegativeNumber,
    retryWindowSeconds: isNonNegativeNumber,
    coldFactor: isNonNegativeNumber,
    coldSlack: isNonNegativeNumber,
    maxAddressTermSeconds: isNonNegativeNumber,
    bodyIdleSeconds: value => value === undefined || isBodyIdle(value),
    reservesReturns: value => value === undefined || typeof value === "boolean",
    sharesIdleCapacity: value => value === undefined || typeof value === "boolean",
    portWaitSeconds: value => value === undefined || isNonNegativeNumber(value),
};

interface RawSettings {
    readonly instance: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly dataCentres: Readonly<Record<string, string>>;
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly directoryAddress: string;
    readonly host: string;
    readonly peerPort: number;
    /** @default connections are not relayed */
    readonly relayPort?: number;
    readonly seedAddresses: readonly string[];
    readonly storeAddress: string;
    readonly processorShare: number;
    /** Speed of the processor as a multiple of that of a common core. */
    readonly processorSpeed: number;
    readonly memoryMb: number;
    readonly maxDescriptors?: number;
    readonly stopTimeoutSeconds: number;
    readonly strictRevocation: boolean;
    readonly revocationMs: number;
    readonly catchUpMs: number;
    readonly targetChangeMs: number;
    readonly configurationChangeMs: number;
    readonly retryRatio: number;
    readonly retryWindowSeconds: number;
    readonly coldFactor: number;
    readonly coldSlack: number;
    readonly maxAddressTermSeconds: number;
    /** @default the idle time-out of the configuration */
    readonly bodyIdleSeconds?: number;
    /** @default for services whose targets report how long work takes */
    readonly sharesIdleCapacity?: boolean;
    /** @default refused requests are not promised capacity */
    readonly reservesReturns?: boolean;
    /** @default outlasts the planned stop of a predecessor, its kill and a closed connection of another process */
    readonly portWaitSeconds?: number;
    /** @default requests leave their data centre by the score alone */
    readonly spill?: unknown;
}

/**
 * Parses the settings file that the platform renders from `deploy/settings.template.json`.
 *
 * @param systemDescriptors Limit of open descriptors for settings that name none: the system's may count files only.
 * @throws SettingsError that names each missing or invalid field.
 */
export function parseSettings(text: string, systemDescriptors?: number): PlatformSettings {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (error) {
        throw SettingsError.create([`The settings file is not JSON: ${String(error)}`]);
    }
    if (typeof value !== "object" || value === null) {
        throw SettingsError.create(["The settings file is not a JSON object."]);
    }
    const fields = value as Readonly<Record<string, unknown>>;
    const faults = Object.entries(CHECKS).filter(([name, check]) => !check(fields[name]))
        .map(([name]) => `${name}: missing or invalid`)
        .concat(parseSpillSettings(fields["spill"]).faults);
    if (faults.length > 0) {
        throw SettingsError.create(faults);
    }
    return buildSettings(value as RawSettings, systemDescriptors);
}

function buildSettings(raw: RawSettings, systemDescriptors = UNLIMITED_DESCRIPTORS): PlatformSettings {
    const stopTimeoutMs = raw.stopTimeoutSeconds * MS_PER_SECOND;
    const keyFreshnessMs = raw.strictRevocation ? raw.revocationMs - REVOCATION_MARGIN_MS : UNLIMITED_MS;
    return {
        router: {
            instance: raw.instance,
            locality: { dataCentre: raw.dataCentre, region: raw.region },
            regionsByDataCentre: new Map(Object.entries(raw.dataCentres)),
            callerAddress: parseListenAddress(raw.callerAddress),
            peerAddress: { host: raw.host, port: raw.peerPort },
            relayAddress: raw.relayPort === undefined ? undefined : { host: raw.host, port: raw.relayPort },
            seedHosts: raw.seedAddresses.map(address => parseListenAddress(address).host),
            weight: raw.processorShare * raw.processorSpeed,
            memoryBytes: raw.memoryMb * BYTES_PER_MB,
            reservesReturns: raw.reservesReturns,
            sharesIdleCapacity: raw.sharesIdleCapacity,
            bodyIdleMs: raw.bodyIdleSeconds === undefined
                ? undefined
                : raw.bodyIdleSeconds * MS_PER_SECOND,
            maxDescriptors: raw.maxDescriptors ?? systemDescriptors,
            stopTimeoutMs,
            keyFreshnessMs,
            catchUpMs: raw.catchUpMs,
            maxChangeDelayMs: Math.min(raw.targetChangeMs, raw.configurationChangeMs, keyFreshnessMs),
            retryRatio: raw.retryRatio * RETRY_SHARE,
            retryWindowMs: raw.retryWindowSeconds * MS_PER_SECOND,
            coldFactor: raw.coldFactor,
            coldSlack: raw.coldSlack,
            spill: parseSpillSettings(raw.spill).settings,
            addressTermSeconds: Math.min(ADDRESS_TERM_SECONDS, raw.maxAddressTermSeconds),
        },
        portWaitMs: raw.portWaitSeconds === undefined
            ? stopTimeoutMs + KILL_MARGIN_MS + CLOSED_CONNECTION_MS
            : raw.portWaitSeconds * MS_PER_SECOND,
        readinessAddress: parseListenAddress(raw.readinessAddress),
        directoryAddress: parseListenAddress(raw.directoryAddress),
        storeAddress: parseListenAddress(raw.storeAddress),
    };
}
