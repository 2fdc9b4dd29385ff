import test from "ava";
import { createHash } from "node:crypto";
import type { AdoptionEvent } from "../../../src/core/configuration/adoptionEvent.js";
import type { AdoptionState } from "../../../src/core/configuration/adoptionState.js";
import { applyAdoptionEvent } from "../../../src/core/configuration/applyAdoptionEvent.js";
import { buildBundle } from "../../../src/core/configuration/buildBundle.js";
import { checkBundle } from "../../../src/core/configuration/checkBundle.js";
import { findConfigurationDelta } from "../../../src/core/configuration/findConfigurationDelta.js";
import { initialAdoptionState } from "../../../src/core/configuration/initialAdoptionState.js";
import { makeConfiguration } from "../../../src/testing/makeConfiguration.js";

const hashText = (text: string): string => createHash("sha256").update(text).digest("hex");

function makeOffer(revision: number, weight: number, change: object = {}): AdoptionEvent {
    const configuration = makeConfiguration({ shares: [{ name: "standard", weight }] });
    const bundle = { ...buildBundle(configuration, revision, hashText), ...change };
    return { type: "offered", source: "platform", check: checkBundle(bundle, hashText) };
}

function applyAll(events: readonly AdoptionEvent[]): AdoptionState {
    return events.reduce<AdoptionState>((state, event) => applyAdoptionEvent(state, event).state, {
        ...initialAdoptionState,
        phase: "serving",
    });
}

test("keeps the bundle in force until a higher one is offered", t => {
    const state = applyAll([makeOffer(5, 1), makeOffer(4, 2), makeOffer(5, 1)]);
    t.is(state.inForce?.revision, 5);
    t.is(state.inForce?.configuration.shares[0]?.weight, 1);
});

test("selects the same one of two bundles of equal revision in either order of arrival", t => {
    t.is(
        applyAll([makeOffer(5, 1), makeOffer(5, 2)]).inForce?.digest,
        applyAll([makeOffer(5, 2), makeOffer(5, 1)]).inForce?.digest,
    );
});

test("rejects a bundle with a wrong digest or a fault as a whole and ignores it the next time", t => {
    const faulty = makeOffer(6, 1, { configuration: { ...makeConfiguration(), regions: [] } });
    for (
        const offer of [makeOffer(6, 1, { digest: "0".repeat(64) }), faulty, makeOffer(6, 1, { revision: 0 })]
    ) {
        const state = applyAll([makeOffer(5, 1), offer]);
        t.is(state.inForce?.revision, 5);
        t.is(state.lastRejection?.faults.length, 1);
        t.deepEqual(applyAdoptionEvent(state, offer).effects, [{
            type: "ignored",
            reason: "rejected-before",
        }]);
    }
});

test("adopts no bundle after a start until the peers have been asked", t => {
    const held = applyAdoptionEvent(initialAdoptionState, makeOffer(5, 1)).state;
    t.is(held.inForce, undefined);
    t.is(applyAdoptionEvent(held, { type: "peers-asked" }).state.inForce?.revision, 5);
});

test("provides deltas from the last 32 revisions only", t => {
    const offers = Array.from({ length: 34 }, (_, index) => makeOffer(index + 1, index + 1));
    const state = applyAll(offers);
    const findDelta = (index: number): number | undefined => {
        const offer = offers[index];
        return offer?.type === "offered"
            ? findConfigurationDelta(state, offer.check.version)?.length
            : undefined;
    };
    t.deepEqual([0, 1, 32].map(findDelta), [undefined, 1, 1]);
});
