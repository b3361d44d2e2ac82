#!/bin/sh
# The replicas of a plain service name a very large limit of requests a second. Needs the build of the deploy file and
# review/build-2.sh. TROUBLE=0: they name none. LIMIT=N: another limit.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/dahliastiled ] && [ -x target/review-2/lab ] || exit 2
exec target/review-2/lab limit review/4/record.txt
