#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
# Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/jacinthslip ] && [ -x target/review-3/rig ] || exit 2
target/review-3/rig gone-after-outage review/15 "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
