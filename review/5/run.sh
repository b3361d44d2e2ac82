#!/bin/sh
# A release of a plain service whose new servers state the longest Keep-Alive timeout. Needs the build of the deploy
# file and review/build-2.sh. TROUBLE=0: no release. KEEP=SECONDS: the same release with another timeout.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/dahliastiled ] && [ -x target/review-2/lab ] || exit 2
exec target/review-2/lab keep-alive review/5/record.txt
