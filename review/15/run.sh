#!/bin/sh
# A batch item whose replica leaves while it runs, with an answer that states no end.
# Needs the build of the deploy file and that of review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-3/stage || exit 2
exec target/review-3/stage draining review/15
