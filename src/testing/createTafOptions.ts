import { hashText } from "../shared/hashText.js";
import type { FleetOptions } from "./fleetOptions.js";
import type { FleetShape } from "./fleetShape.js";
import { getAccountKey } from "./getAccountKey.js";

const DATA_CENTRES: Readonly<Record<string, string>> = {
    "caerdydd-a": "de-cymru",
    "bangor-a": "gogledd",
    "aber-a": "gorllewin",
};

/** Returns the options of a fleet like the Tâf Co-op's: three data centres in three regions, two services. */
export function createTafOptions(shape: FleetShape): FleetOptions {
    const centres = Object.keys(DATA_CENTRES);
    const pickCentre = (index: number): string => centres[index % centres.length] ?? "";
    const targets = [
        ...makeNames("engine", shape.engines ?? 12).map(name => ({
            name,
            service: "model-desk",
            slotLimit: shape.engineSlots ?? 8,
            coldLimit: shape.engineColdLimit ?? 1,
        })),
        ...makeNames("order", shape.plainServers ?? 3).map(name => ({
            name,
            service: "order-book",
            slotLimit: shape.plainSlots ?? 8,
            coldLimit: 2,
        })),
    ];
    return {
        instances: Object.fromEntries(
            makeNames("daemon", shape.instances ?? 7).map((name, index) => [name, pickCentre(index)]),
        ),
        configuration: {
            regions: Object.values(DATA_CENTRES).map(name => ({ name })),
            dataCentres: Object.entries(DATA_CENTRES).map(([name, region]) => ({ name, region })),
            shares: [...new Set(Object.values(shape.accounts))].map(weight => ({
                name: formatShare(weight),
                weight,
            })),
            clientAccounts: Object.entries(shape.accounts).map(([name, weight]) => ({
                name,
                share: formatShare(weight),
                keyDigests: [hashText(getAccountKey(name))],
                services: ["model-desk", "order-book"],
            })),
            services: [
                { name: "model-desk", kind: "model", queueLimit: shape.queueLimit ?? 200 },
                {
                    name: "order-book",
                    kind: "plain",
                    requestCost: 20,
                    nonRepeatableMethods: ["POST"],
                    queueLimit: shape.queueLimit ?? 200,
                },
            ],
            targets: targets.map((target, index) => ({
                ...target,
                dataCentre: pickCentre(index),
                url: "http://127.0.0.1:1",
                checksFencing: shape.checksFencing ?? false,
            })),
        },
        ...shape.fleet,
    };
}

function makeNames(prefix: string, count: number): readonly string[] {
    return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}

function formatShare(weight: number): string {
    return `weight-${weight}`;
}
