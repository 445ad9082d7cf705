#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/oleanderworks ] && [ -x target/review-rig2 ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec target/review-rig2 nested review/9
