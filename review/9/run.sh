#!/bin/sh
# Plays case 9; see claim.txt. With TROUBLE=0 the VMs are not killed at the end.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x "$root/target/review-9" ] && [ -x "$root/target/sycamoredoor" ] || { echo "build first"; exit 2; }
"$root/target/review-9" --program "$root/target/sycamoredoor" --folder "$folder" --record "$here/record.txt" --trouble=$trouble
