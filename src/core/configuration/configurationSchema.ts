import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "must be 1 to 63 of a-z, 0-9, '.', '-'");

const region = z.strictObject({ name }).readonly();

const dataCentre = z.strictObject({
    name,
    /** Name of the region that holds the data centre. */
    region: name,
    /** False takes the data centre out of service: its targets get no new work. */
    inService: z.boolean().default(true),
}).readonly();

const share = z.strictObject({
    name,
    /** Relative weight of a client account with this share. */
    weight: z.number().positive().finite(),
}).readonly();

const clientAccount = z.strictObject({
    name,
    /** Name of the share. */
    share: name,
    /** SHA-256 digests (hex) of the bearer keys. */
    keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest in hex")).min(1)
        .readonly(),
    /** Names of the services that the account may use. */
    services: z.array(name).min(1).readonly(),
}).readonly();

const service = z.strictObject({
    name,
    /** Model services speak the chat completions protocol; plain services take any HTTP request. */
    kind: z.enum(["model", "plain"]),
    /** Cost in tokens of one request to a plain service. */
    requestCost: z.number().positive().finite().default(100),
    /** HTTP methods whose requests must not be repeated; required for plain services. */
    nonRepeatableMethods: z.array(z.enum(["POST", "PUT", "PATCH", "DELETE", "GET"])).readonly().optional(),
    /** Maximum number of requests of one client account that may wait at one instance. */
    queueLimit: z.number().int().positive().default(200),
    /** Largest request body in bytes. */
    maxBodyBytes: z.number().int().positive().default(1_048_576),
}).readonly();

const target = z.strictObject({
    name,
    /** Name of the service that the target serves. */
    service: name,
    /** Name of the data centre that holds the target. */
    dataCentre: name,
    /** Base URL, for example `http://10.0.0.1:8000`. */
    url: z.url({ protocol: /^http$/ }),
    /** Maximum number of concurrent requests at the warm target. */
    slotLimit: z.number().int().positive(),
    /** Maximum number of concurrent requests at the cold target. */
    coldLimit: z.number().int().positive().default(1),
    /** True if the target refuses a request with an old fencing number. */
    checksFencing: z.boolean().default(false),
    /** False takes the target out of service: it gets no new work. */
    inService: z.boolean().default(true),
}).readonly();

/** Shape of a configuration. References between objects are checked by `validateConfiguration`. */
export const configurationSchema = z.strictObject({
    regions: z.array(region).readonly(),
    dataCentres: z.array(dataCentre).readonly(),
    shares: z.array(share).readonly(),
    clientAccounts: z.array(clientAccount).readonly(),
    services: z.array(service).readonly(),
    targets: z.array(target).readonly(),
}).readonly();
