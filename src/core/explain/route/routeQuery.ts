import type { z } from "zod";
import type { routeQuerySchema } from "./routeQuerySchema.js";

/** A request whose route is to be explained. */
export type RouteQuery = z.infer<typeof routeQuerySchema>;
