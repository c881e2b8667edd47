#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: its own, and those of the first review, which
# case 4 uses.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig2 ./review/rig2
bash review/build.sh
