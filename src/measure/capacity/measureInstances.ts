import { computeAggregationTree } from "../../core/fairness/computeAggregationTree.js";
import { listOwners } from "../../core/lease/listOwners.js";
import { instanceListSchema } from "../../core/membership/instanceListSchema.js";
import { listEntries } from "../../core/membership/listEntries.js";
import { makeScaleView } from "./makeScaleView.js";
import { measureHeap } from "./measureHeap.js";
import { measureProcessorTime } from "./measureProcessorTime.js";

interface InstancesCost {
    readonly listBytes: number;
    readonly entriesBytes: number;
    /** Processor time in milliseconds of building a tree, parsing the list, and finding the owner of a pool. */
    readonly treeMs: number;
    readonly parseMs: number;
    readonly ownerMs: number;
    readonly heapBytes: number;
}

/** A single copy is small compared with other changes of the heap during the measurement. */
const COPIES = 20;

/** Measures the costs that depend on the number of listed instances. */
export function measureInstances(instances: number, seconds: number): InstancesCost {
    const view = makeScaleView(instances);
    const text = JSON.stringify(view.instances);
    const getRegion = (name: string): string | undefined => view.index?.dataCentres.get(name)?.region;
    const buildTree = (): unknown =>
        computeAggregationTree(view.instances.instances, getRegion, view.suspected);
    const parse = (): unknown => instanceListSchema.parse(JSON.parse(text));
    const entries = listEntries(view, "centre-0").map(entry => ({
        instance: entry.name,
        dataCentre: entry.dataCentre,
        address: entry.callerAddress,
    }));
    return {
        listBytes: text.length,
        entriesBytes: JSON.stringify(entries).length,
        treeMs: measureProcessorTime(seconds, buildTree) / 1000,
        parseMs: measureProcessorTime(seconds, parse) / 1000,
        ownerMs: measureProcessorTime(seconds, () => listOwners(view, "model-1", "centre-1")) / 1000,
        heapBytes: measureHeap(() => Array.from({ length: COPIES }, () => [parse(), buildTree()])) / COPIES,
    };
}
