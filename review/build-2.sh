#!/bin/sh
# Builds the stand-ins of the scripts of this review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-7 ./review/7
go build -o target/review-8 ./review/8
go build -o target/review-9 ./review/9
