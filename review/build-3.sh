#!/bin/bash
# Builds the stand-ins of the script cases 11 to 15.
set -e
cd "$(dirname "$0")/.."
go test -c -o target/stand3 ./review/_stand3
