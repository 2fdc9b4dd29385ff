import type { SpillSettings } from "./spillSettings.js";

const BYTES_PER_MB = 1_000_000;

/** Converts bytes on the links between data centres to milliseconds of a caller's wait. */
export class LinkPrices {
    readonly #settings: SpillSettings;
    readonly #regionsByDataCentre: ReadonlyMap<string, string>;

    private constructor(settings: SpillSettings, regionsByDataCentre: ReadonlyMap<string, string>) {
        this.#settings = settings;
        this.#regionsByDataCentre = regionsByDataCentre;
    }

    /** Creates the prices of the links between the data centres of the regions. */
    static create(settings: SpillSettings, regionsByDataCentre: ReadonlyMap<string, string>): LinkPrices {
        return new LinkPrices(settings, regionsByDataCentre);
    }

    isOtherRegion(from: string, to: string): boolean {
        return this.#regionsByDataCentre.get(from) !== this.#regionsByDataCentre.get(to);
    }

    /** Computes what bytes between two data centres are worth; 0 within one. */
    computeMs(bytes: number, from: string, to: string): number {
        if (from === to) {
            return 0;
        }
        const { sameRegionWaitMsPerMb, otherRegionWaitMsPerMb } = this.#settings;
        return bytes / BYTES_PER_MB
            * (this.isOtherRegion(from, to) ? otherRegionWaitMsPerMb : sameRegionWaitMsPerMb);
    }
}
