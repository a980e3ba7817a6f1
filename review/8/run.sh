#!/bin/sh
# Usage: review/8/run.sh, after the build of the deploy file and of
# review/build-2.sh. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/cut_reader
if [ ! -x "$program" ] || [ ! -x target/release/stairhinge-platform ]; then
    echo "not built" >&2
    exit 2
fi
exec "$program" review/8/record.txt 
