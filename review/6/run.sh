#!/bin/sh
# Plays the case of claim.txt and writes record.txt. TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/dogwoodnotch ] || [ ! -x target/review-2/harness ]; then
    echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review-2/harness --case own-failures --daemon target/dogwoodnotch --record review/6/record.txt
