#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/rig
