#!/usr/bin/env bash
# Generates the committed message types from proto/peer.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
npx proto-loader-gen-types --longs=Number --enums=String --defaults --oneofs --keepCase \
    --grpcLib=@grpc/grpc-js --importFileExtension=.js --outDir=src/transport/generated proto/peer.proto
