#!/usr/bin/env bash
# Builds the stand-ins (rig_2) and the scripted cases 4 to 8 into target/review-2, after the build of the deploy file. Needs g++ and Boost.JSON, as that
# build does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
compile() { g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread "$@"; }
compile -c review/rig_2.cpp -o target/review-2/rig_2.o
for name in smuggled_shape cut_at_stop late_order refused_configuration; do
    compile "review/$name.cpp" target/review-2/rig_2.o -lboost_json -o "target/review-2/$name"
done
