#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
stand_in=target/review-2/stand-in-2
daemon=target/release/wagtailstalld
if [ ! -x "$stand_in" ] || [ ! -x "$daemon" ]; then
    echo "build the daemon and run review/build-2.sh first" >&2
    exit 2
fi
exec "$stand_in" unknown-start review/9 "$daemon"
