import { hashName } from "./hashName.js";
import type { ObjectKind } from "./objectKind.js";
import { objectKinds } from "./objectKinds.js";

type LooseObject = Readonly<Record<string, unknown>>;
type LooseSet = ReadonlyMap<ObjectKind, readonly LooseObject[]>;

interface Reference {
    readonly kind: ObjectKind;
    readonly field: string;
    readonly refersTo: ObjectKind;
}

const REFERENCES: readonly Reference[] = [
    { kind: "dataCentres", field: "region", refersTo: "regions" },
    { kind: "clientAccounts", field: "share", refersTo: "shares" },
    { kind: "clientAccounts", field: "services", refersTo: "services" },
    { kind: "targets", field: "service", refersTo: "services" },
    { kind: "targets", field: "dataCentre", refersTo: "dataCentres" },
];

/**
 * Returns the faults that the schema does not cover, one line each with its path: duplicate names, colliding
 * hashes, dangling references, plain services without `nonRepeatableMethods` and shared keys. Objects of a
 * wrong shape are checked as far as possible, so that all faults are reported at once.
 */
export function listReferenceFaults(value: unknown): readonly string[] {
    const set = collectObjects(value);
    return [
        ...objectKinds.flatMap(kind => listNameFaults(kind, set.get(kind) ?? [])),
        ...REFERENCES.flatMap(reference => listDanglingReferences(reference, set)),
        ...listPlainServiceFaults(set.get("services") ?? []),
        ...listKeyDigestFaults(set.get("clientAccounts") ?? []),
    ];
}

function collectObjects(value: unknown): LooseSet {
    const lists = typeof value === "object" && value !== null ? value as Record<string, unknown> : {};
    return new Map(objectKinds.map(kind => {
        const list = lists[kind];
        const objects: readonly unknown[] = Array.isArray(list) ? list : [];
        return [
            kind,
            objects.map(object => typeof object === "object" && object !== null ? object as LooseObject : {}),
        ];
    }));
}

function listNameFaults(kind: ObjectKind, objects: readonly LooseObject[]): readonly string[] {
    const indexes = new Map<string, number>();
    const namesByHash = new Map<number, string>();
    return objects.flatMap(({ name }, index) => {
        if (typeof name !== "string") {
            return [];
        }
        const first = indexes.get(name);
        if (first !== undefined) {
            return [`${kind}.${index}.name: '${name}' is also the name of ${kind}.${first}`];
        }
        indexes.set(name, index);
        const hash = hashName(name);
        const other = namesByHash.get(hash);
        namesByHash.set(hash, name);
        return other === undefined
            ? []
            : [`${kind}.${index}.name: '${name}' and '${other}' have the same 32-bit hash; rename one`];
    });
}

function listDanglingReferences(reference: Reference, set: LooseSet): readonly string[] {
    const names = new Set((set.get(reference.refersTo) ?? []).map(object => object["name"]));
    return (set.get(reference.kind) ?? []).flatMap((object, index) => {
        const path = `${reference.kind}.${index}.${reference.field}`;
        const value = object[reference.field];
        const named: readonly (readonly [string, unknown])[] = Array.isArray(value)
            ? value.map((item: unknown, position) => [`${path}.${position}`, item] as const)
            : [[path, value]];
        return named
            .filter(([, name]) => typeof name === "string" && !names.has(name))
            .map(([at, name]) => `${at}: '${String(name)}' is not one of ${reference.refersTo}`);
    });
}

function listPlainServiceFaults(services: readonly LooseObject[]): readonly string[] {
    return services.flatMap((service, index) =>
        service["kind"] === "plain" && service["nonRepeatableMethods"] === undefined
            ? [
                `services.${index}.nonRepeatableMethods: a plain service must state it; `
                + "[] if every call may be repeated",
            ]
            : []
    );
}

function listKeyDigestFaults(accounts: readonly LooseObject[]): readonly string[] {
    const owners = new Map<unknown, string>();
    return accounts.flatMap((account, index) => {
        const digests: readonly unknown[] = Array.isArray(account["keyDigests"]) ? account["keyDigests"] : [];
        return digests.flatMap((digest, position) => {
            const path = `clientAccounts.${index}.keyDigests.${position}`;
            const owner = owners.get(digest);
            owners.set(digest, path);
            return owner === undefined ? [] : [`${path}: the same digest is at ${owner}`];
        });
    });
}
