// Copies files that the compiler does not emit (protocol definitions) next to the compiled modules.
import { cpSync, existsSync } from "node:fs";

if (existsSync("proto")) {
    cpSync("proto", "dist/proto", { recursive: true });
}
