#!/bin/sh
# Runs the case once. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/jacinthslip ] && [ -x target/review-3/rig ] || exit 2
exec target/review-3/rig drained-after-restore review/13 "${TROUBLE:-1}"
