import test from "ava";
import { EngineModel } from "../../../src/core/routing/engineModel.js";
import { estimateFetch } from "../../../src/core/routing/estimateFetch.js";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

const PRIOR_TOKENS_PER_MS = 50;
const RATES_TOKENS_PER_MS = [30, 66, 101];
const PLACES = [12, 24, 48, 64];
const ENGINE_BASE_MS = 20;

test("learns the prefill rate of engines of any speed from their first events", t => {
    for (const rate of RATES_TOKENS_PER_MS) {
        const model = EngineModel.create({ priorTokensPerMs: PRIOR_TOKENS_PER_MS });
        t.is(model.getPrefillTokensPerMs(0), PRIOR_TOKENS_PER_MS);
        for (let now = 100; now <= 3000; now += 20) {
            model.recordFirstEvent(3000, 3000 / rate, now);
        }
        const ratio = rate / model.getPrefillTokensPerMs(3000);
        t.true(ratio > 0.7 && ratio < 1.4, `${rate}: ${ratio}`);
    }
});

test("forgets a slow phase, and takes a single late response for a fault of its own", t => {
    const model = EngineModel.create({ priorTokensPerMs: PRIOR_TOKENS_PER_MS });
    for (let now = 0; now < 2000; now += 20) {
        model.recordFirstEvent(3000, 3000 / 66, now);
    }
    model.recordFirstEvent(3000, 60_000, 2000);
    t.true(model.getPrefillTokensPerMs(2000) > 0.7 * 66);
    t.true(Math.abs(model.getPrefillTokensPerMs(120_000) - PRIOR_TOKENS_PER_MS) < 1);
});

test("expects of a grant what an engine takes, at each number of places and each prefill rate", t => {
    for (const rate of RATES_TOKENS_PER_MS) {
        for (const slots of PLACES) {
            const { scheduler } = createScheduler();
            scheduler.setTargets([makeTargetDescriptor("t", { slots })], new Set(), 0);
            const ratios: number[] = [];
            // An engine that reads one prompt after the other; each request ends when its first event has arrived.
            let engineFreeAt = 0;
            for (let i = 0; i < 400; i += 1) {
                const now = i * 60;
                const request = makeRoutedRequest({
                    requestId: String(i),
                    promptTokens: 2500,
                    prompt: [{ id: `own-${i}`, tokens: 2500 }],
                    receivedAt: now,
                    objectiveDeadline: now + 400,
                });
                const { grant } = enqueueRequest(scheduler, request, now);
                if (!grant) {
                    continue;
                }
                engineFreeAt = Math.max(engineFreeAt, now) + 2500 / rate;
                const firstEventAt = engineFreeAt + ENGINE_BASE_MS;
                ratios.push((firstEventAt - now) / grant.expectedMs);
                scheduler.start(grant, firstEventAt);
                scheduler.release(grant, true, firstEventAt);
                engineFreeAt = Math.min(engineFreeAt, now + 60);
            }
            const median = ratios.slice(-200).sort((a, b) => a - b)[100] ?? 0;
            t.true(median > 0.7 && median < 1.4, `rate ${rate}, places ${slots}: ${median}`);
        }
    }
});

test("reads a short shared part again rather than fetching it from another region, and fetches a long one nearby", t => {
    const engine = { slots: 64, memoryTokens: 1e6, tokenBytes: 327_680, linkMbps: 310_000 };
    const remote = { roundTripMs: 40, isSameDataCentre: false };
    const local = { roundTripMs: 0, isSameDataCentre: true };
    t.true(estimateFetch(engine, 198, remote) > 3 * 198 / 101);
    t.true(estimateFetch(engine, 5382, local) < 3 * 5382 / 101);
    t.true(estimateFetch(engine, 5382, remote) > estimateFetch(engine, 5382, local) + 40);
});
