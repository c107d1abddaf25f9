#!/bin/bash
# Case 13. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lentilstand ] && [ -x target/stand3 ] || exit 2
exec target/stand3 hidden review/13/record.txt
