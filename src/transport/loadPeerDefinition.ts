import { loadPackageDefinition } from "@grpc/grpc-js";
import { loadSync } from "@grpc/proto-loader";
import { fileURLToPath } from "node:url";
import type { ProtoGrpcType } from "./generated/peer.js";

const PROTO_PATH = fileURLToPath(new URL("../../proto/peer.proto", import.meta.url));

/** Loads the protocol between instances from proto/peer.proto. */
export function loadPeerDefinition(): ProtoGrpcType["baobabspread"]["peer"]["Peer"] {
    const definition = loadSync(PROTO_PATH, {
        keepCase: true,
        longs: Number,
        enums: String,
        defaults: true,
        oneofs: true,
    });
    const loaded = loadPackageDefinition(definition) as unknown as ProtoGrpcType;
    return loaded.baobabspread.peer.Peer;
}
