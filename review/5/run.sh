#!/usr/bin/env bash
# After a restart a node sends on a request that is known to crash upstreams.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-rig --record "review/5/record.txt" crashing-request
