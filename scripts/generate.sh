#!/usr/bin/env bash
# Makes the committed code in wire/generated from wire/peer.proto again.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --cpp_out=wire/generated -I wire wire/peer.proto
