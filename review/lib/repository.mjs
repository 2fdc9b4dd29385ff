import { fileURLToPath } from "node:url";

/** Path of the root of the repository. */
export const repository = fileURLToPath(new URL("../../", import.meta.url));
