#!/usr/bin/env bash
# Checks the stand-ins and scripts of the cases. They are plain modules of Node.js without dependencies, so that nothing has
# to be compiled; the router itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs ?/case.mjs; do
    node --check "$file"
done
