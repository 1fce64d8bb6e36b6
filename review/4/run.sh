#!/bin/sh
# Runs the case and writes record.txt beside this file. Needs the build of the deploy file and
# review/build.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rig ] && [ -x target/release/jacinthslip ] || exit 2
exec target/review/rig crash_first review/4
