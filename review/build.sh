#!/usr/bin/env bash
# Builds the stand-ins of the scripts, after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/reviewstand ./review/stand
