#!/bin/sh
# Builds the stand-ins of the script cases 6 to 10. Run it in the root of the repository, after
# the build of deploy/system.toml.
set -e
go test -c -o target/review-2/stand2 ./review/_stand2
