#!/bin/sh
# Builds the stand-ins of all cases. It runs after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go test -c -o target/review-stand ./review/_stand
