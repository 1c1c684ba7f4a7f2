#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/sycamoredoor ] && [ -x target/reviewstand ] || { echo 'run the build of the deploy file and review/build.sh first'; exit 2; }
TROUBLE=${TROUBLE:-1} exec target/reviewstand laststop "$here/record.txt"
