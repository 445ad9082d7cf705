#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. The project's own program is
# built by the deploy file before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig2 ./review/rig2
