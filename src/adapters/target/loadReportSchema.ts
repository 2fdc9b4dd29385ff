import { z } from "zod";

/** Shape of the response to `GET /v1/load`. */
export const loadReportSchema = z.object({
    epoch: z.string(),
    state: z.enum(["cold", "warm"]),
    running: z.number().int().nonnegative(),
    bearable: z.number().int().nonnegative(),
    measuredAtMs: z.number(),
});
