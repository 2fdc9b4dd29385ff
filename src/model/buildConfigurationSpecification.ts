import type { AcceptedBundle } from "../core/configuration/acceptedBundle.js";
import type { AdoptionEvent } from "../core/configuration/adoptionEvent.js";
import type { AdoptionResult } from "../core/configuration/adoptionResult.js";
import type { AdoptionState } from "../core/configuration/adoptionState.js";
import type { ConfigurationModelEvent } from "./configurationModelEvent.js";
import type { ConfigurationModelState } from "./configurationModelState.js";
import type { Specification } from "./specification.js";

type ApplyAdoption = (state: AdoptionState, event: AdoptionEvent) => AdoptionResult;
type ModelInstance = ConfigurationModelState["instances"][number];

const EMPTY_SET = {
    regions: [],
    dataCentres: [],
    shares: [],
    clientAccounts: [],
    services: [],
    targets: [],
};
/** In ascending order; two operators publish different bundles as revision 2. */
const BUNDLES: readonly AcceptedBundle[] = [[1, "a"], [2, "a"], [2, "b"]].map(([revision, digest]) => ({
    revision: Number(revision),
    digest: String(digest),
    configuration: EMPTY_SET,
    effective: EMPTY_SET,
}));
const INSTANCES = [0, 1, 2];

/**
 * Builds the specification of configuration adoption with the given reducer.
 *
 * @param restarts Maximum number of instance restarts in one history.
 */
export function buildConfigurationSpecification(
    applyAdoption: ApplyAdoption,
    restarts: number,
): Specification<ConfigurationModelState, ConfigurationModelEvent> {
    const applyEvent = (instance: ModelInstance, event: AdoptionEvent): ModelInstance => {
        const { state } = applyAdoption(toAdoptionState(instance), event);
        const inForce = findBundle(state.inForce);
        return normalizeInstance({
            ...instance,
            phase: state.phase,
            inForce,
            held: findBundle(state.candidate),
            highest: Math.max(instance.highest, inForce),
        });
    };
    return {
        name: "configuration adoption",
        initial: {
            published: [0],
            restartsLeft: restarts,
            instances: INSTANCES.map(() => ({ ...makeInstance(), phase: "serving" as const })),
        },
        // Leaves out events that do not change the state, such as reading an old bundle: more than half of all.
        listEvents: state => {
            const unchanged = JSON.stringify(state);
            return listEvents(state).filter(event =>
                JSON.stringify(applyModelEvent(state, event, applyEvent)) !== unchanged
            );
        },
        apply: (state, event) => applyModelEvent(state, event, applyEvent),
        invariants: [
            {
                name: "an accepted configuration never reverts at an instance that keeps running",
                isHeld: state => state.instances.every(instance => instance.inForce === instance.highest),
            },
            {
                name: "after a restart an instance serves no bundle older than those of the peers it asked",
                isHeld: state =>
                    state.instances.every(instance =>
                        instance.phase === "asking" || instance.inForce >= instance.floor
                    ),
            },
            {
                name: "the fleet converges on the highest bundle in force",
                isHeld: state => hasConverged(settleFleet(state, applyEvent)),
            },
        ],
        bounds: [
            `${INSTANCES.length} instances, ${restarts} restarts`,
            `${BUNDLES.length} valid bundles of which two have the same revision, one faulty bundle`,
            "deltas and rejections are left out of the state",
        ],
    };
}

function listEvents(state: ConfigurationModelState): readonly ConfigurationModelEvent[] {
    const publications = BUNDLES.map((_, bundle) => bundle).filter(bundle =>
        !state.published.includes(bundle)
    )
        .map(bundle => ({ type: "publish" as const, bundle }));
    return [...publications, ...INSTANCES.flatMap(instance => listInstanceEvents(state, instance))];
}

function listInstanceEvents(
    state: ConfigurationModelState,
    instance: number,
): readonly ConfigurationModelEvent[] {
    const { phase, asked } = state.instances[instance] ?? makeInstance();
    const peers = INSTANCES.filter(peer => peer !== instance && !asked.includes(peer));
    return [
        ...state.published.map(bundle => ({ type: "read" as const, instance, bundle })),
        { type: "read-faulty", instance },
        ...peers.map(peer => ({ type: "fetch" as const, instance, peer })),
        ...(phase === "asking" ? peers.map(peer => ({ type: "ask-lost" as const, instance, peer })) : []),
        ...(phase === "asking" && peers.length === 0 ? [{ type: "finish-asking" as const, instance }] : []),
        ...(state.restartsLeft > 0 ? [{ type: "restart" as const, instance }] : []),
    ];
}

type ApplyToInstance = (instance: ModelInstance, event: AdoptionEvent) => ModelInstance;

function applyModelEvent(
    state: ConfigurationModelState,
    event: ConfigurationModelEvent,
    applyEvent: ApplyToInstance,
): ConfigurationModelState {
    if (event.type === "publish") {
        return { ...state, published: [...state.published, event.bundle].sort((a, b) => a - b) };
    }
    if (event.type === "restart") {
        const restarted = replaceInstance(state, event.instance, makeInstance);
        return { ...restarted, restartsLeft: state.restartsLeft - 1 };
    }
    return replaceInstance(state, event.instance, instance => {
        switch (event.type) {
            case "read":
                return applyEvent(instance, makeOffer(event.bundle));
            case "read-faulty":
                return applyEvent(instance, makeOffer(-1));
            case "ask-lost":
                return addAsked(instance, event.peer, -1);
            case "finish-asking":
                return applyEvent(instance, { type: "peers-asked" });
            case "fetch":
                return fetchFromPeer(instance, event.peer, state, applyEvent);
        }
    });
}

function fetchFromPeer(
    instance: ModelInstance,
    peer: number,
    state: ConfigurationModelState,
    applyEvent: ApplyToInstance,
): ModelInstance {
    const bundle = state.instances[peer]?.inForce ?? -1;
    const offered = bundle < 0 ? instance : applyEvent(instance, makeOffer(bundle));
    return instance.phase === "asking" ? addAsked(offered, peer, bundle) : offered;
}

function addAsked(instance: ModelInstance, peer: number, bundle: number): ModelInstance {
    return normalizeInstance({
        ...instance,
        asked: [...instance.asked, peer].sort((a, b) => a - b),
        floor: Math.max(instance.floor, bundle),
    });
}

function replaceInstance(
    state: ConfigurationModelState,
    index: number,
    change: (instance: ModelInstance) => ModelInstance,
): ConfigurationModelState {
    return {
        ...state,
        instances: state.instances.map((instance, position) =>
            position === index ? change(instance) : instance
        ),
    };
}

// Once the floor is reached, the invariant against reverting covers it; clearing it reduces the number of states.
function normalizeInstance(instance: ModelInstance): ModelInstance {
    return instance.phase === "serving" && instance.inForce >= instance.floor
        ? { ...instance, floor: -1, asked: [] }
        : instance;
}

// All instances finish asking, then each fetches from every peer, twice. The first round brings the highest
// bundle at least to the last instance, the second to the others.
function settleFleet(state: ConfigurationModelState, applyEvent: ApplyToInstance): ConfigurationModelState {
    const serving = {
        ...state,
        instances: state.instances.map(instance =>
            instance.phase === "asking" ? applyEvent(instance, { type: "peers-asked" }) : instance
        ),
    };
    return mergeFleet(mergeFleet(serving, applyEvent), applyEvent);
}

function mergeFleet(state: ConfigurationModelState, applyEvent: ApplyToInstance): ConfigurationModelState {
    const pairs = INSTANCES.flatMap(index => INSTANCES.map(peer => [index, peer] as const));
    return pairs.reduce<ConfigurationModelState>(
        (current, [index, peer]) =>
            replaceInstance(current, index, instance => fetchFromPeer(instance, peer, current, applyEvent)),
        state,
    );
}

function hasConverged(state: ConfigurationModelState): boolean {
    return new Set(state.instances.map(instance => instance.inForce)).size === 1;
}

function makeOffer(bundle: number): AdoptionEvent {
    const offered = BUNDLES[bundle];
    return {
        type: "offered",
        source: "platform",
        check: offered
            ? { version: { revision: offered.revision, digest: offered.digest }, bundle: offered, faults: [] }
            : {
                version: { revision: 3, digest: "c" },
                bundle: undefined,
                faults: ["targets.0.service: unknown"],
            },
    };
}

function makeInstance(): ModelInstance {
    return { phase: "asking", inForce: -1, held: -1, highest: -1, floor: -1, asked: [] };
}

function toAdoptionState(instance: ModelInstance): AdoptionState {
    return {
        phase: instance.phase,
        inForce: BUNDLES[instance.inForce],
        candidate: BUNDLES[instance.held],
        deltas: [],
        lastRejection: undefined,
    };
}

function findBundle(bundle: AcceptedBundle | undefined): number {
    return bundle ? BUNDLES.indexOf(bundle) : -1;
}
