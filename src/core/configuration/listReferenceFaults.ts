import { hashName } from "./hashName.js";
import type { ObjectKind } from "./objectKind.js";
import { objectKinds } from "./objectKinds.js";

type UnvalidatedObject = Readonly<Record<string, unknown>>;
type ObjectsByKind = ReadonlyMap<ObjectKind, readonly UnvalidatedObject[]>;

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
    const objectsByKind = collectObjects(value);
    return [
        ...objectKinds.flatMap(kind => listNameFaults(kind, objectsByKind.get(kind) ?? [])),
        ...REFERENCES.flatMap(reference => listDanglingReferences(reference, objectsByKind)),
        ...listPlainServiceFaults(objectsByKind.get("services") ?? []),
        ...listKeyDigestFaults(objectsByKind.get("clientAccounts") ?? []),
    ];
}

function collectObjects(value: unknown): ObjectsByKind {
    const lists = typeof value === "object" && value !== null ? value as Record<string, unknown> : {};
    return new Map(objectKinds.map(kind => {
        const list = lists[kind];
        const objects: readonly unknown[] = Array.isArray(list) ? list : [];
        return [
            kind,
            objects.map(object =>
                typeof object === "object" && object !== null ? object as UnvalidatedObject : {}
            ),
        ];
    }));
}

function listNameFaults(kind: ObjectKind, objects: readonly UnvalidatedObject[]): readonly string[] {
    const indexByName = new Map<string, number>();
    const nameByHash = new Map<number, string>();
    return objects.flatMap(({ name }, index) => {
        if (typeof name !== "string") {
            return [];
        }
        const firstIndex = indexByName.get(name);
        if (firstIndex !== undefined) {
            return [`${kind}.${index}.name: '${name}' is also the name of ${kind}.${firstIndex}`];
        }
        indexByName.set(name, index);
        const hash = hashName(name);
        const collidingName = nameByHash.get(hash);
        nameByHash.set(hash, name);
        return collidingName === undefined
            ? []
            : [`${kind}.${index}.name: '${name}' and '${collidingName}' have the same 32-bit hash; rename one`];
    });
}

function listDanglingReferences(reference: Reference, objectsByKind: ObjectsByKind): readonly string[] {
    const names = new Set((objectsByKind.get(reference.refersTo) ?? []).map(object => object["name"]));
    return (objectsByKind.get(reference.kind) ?? []).flatMap((object, index) => {
        const path = `${reference.kind}.${index}.${reference.field}`;
        const value = object[reference.field];
        const references: readonly (readonly [string, unknown])[] = Array.isArray(value)
            ? value.map((item: unknown, position) => [`${path}.${position}`, item] as const)
            : [[path, value]];
        return references
            .filter(([, name]) => typeof name === "string" && !names.has(name))
            .map(([at, name]) => `${at}: '${String(name)}' is not one of ${reference.refersTo}`);
    });
}

function listPlainServiceFaults(services: readonly UnvalidatedObject[]): readonly string[] {
    return services.flatMap((service, index) =>
        service["kind"] === "plain" && service["nonRepeatableMethods"] === undefined
            ? [
                `services.${index}.nonRepeatableMethods: a plain service must state it; `
                + "[] if every call may be repeated",
            ]
            : []
    );
}

function listKeyDigestFaults(accounts: readonly UnvalidatedObject[]): readonly string[] {
    const pathByDigest = new Map<unknown, string>();
    return accounts.flatMap((account, index) => {
        const digests: readonly unknown[] = Array.isArray(account["keyDigests"]) ? account["keyDigests"] : [];
        return digests.flatMap((digest, position) => {
            const path = `clientAccounts.${index}.keyDigests.${position}`;
            const previousPath = pathByDigest.get(digest);
            pathByDigest.set(digest, path);
            return previousPath === undefined ? [] : [`${path}: the same digest is at ${previousPath}`];
        });
    });
}
