#!/usr/bin/env bash
# Runs the case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
# run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/stand3 ] || [ ! -x target/sycamoredoor ]; then
	echo "build as the deploy file and review/build-3.sh do" >&2
	exit 2
fi
exec target/stand3 behind "$here"
