#!/usr/bin/env bash
# Builds the stand-ins of the cases with a script. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig ./review/rig
