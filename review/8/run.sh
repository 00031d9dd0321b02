#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/alderward ] && [ -x target/review-2/refused_configuration ] || exit 2
timeout -k 5 110 target/review-2/refused_configuration review/8/record.txt
code=$?
[ $code -le 1 ] && exit $code
exit 2
