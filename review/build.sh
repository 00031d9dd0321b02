#!/usr/bin/env bash
# Builds the programs of the review's cases, with the project's stand-ins, into build/review. Run it after the build of the deploy file, whose
# libraries in target/ it links.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -DBOOST_ASIO_NO_DEPRECATED -DALDERWARD_VERSION='"review"' -Isrc -I. -Itests)
cases=(stale_handle late_promotion empty_log)
shared=(tests/harness/harness.cpp tests/harness/gateway_rig.cpp tests/standins/line_group.cpp tests/standins/kv_store.cpp tests/standins/fault_proxy.cpp
    review/member_group.cpp review/deployment.cpp)
for it in "${shared[@]}" "${cases[@]/%/.cpp}"; do
    [ -f "$it" ] || it=review/$it
    g++ "${flags[@]}" -c "$it" -o "$out/$(basename "$it" .cpp).o" &
done
for job in $(jobs -p); do
    wait "$job"
done
objects=()
for it in "${shared[@]}"; do
    objects+=("$out/$(basename "$it" .cpp).o")
done
read -ra libraries <<<"$(pkg-config --libs grpc++ protobuf libxxhash)"
for it in "${cases[@]}"; do
    g++ "$out/$it.o" "${objects[@]}" target/libalderwardcore.a target/libgenerated.a "${libraries[@]}" -lboost_json -lfmt -lcrypto -labsl_synchronization -lpthread -o "$out/$it"
done
