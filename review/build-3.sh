#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15 with the libraries that the
# deploy file's build leaves in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
soak=(platform/soak/StoreStandIn.cpp)
libraries=(target/libsesameway_proxy.a target/libsesameway_common.a
  target/libsesameway_peer_generated.a target/libsesameway.a)
flags=(-std=c++20 -O1 -g -Ireview/standin-3 -Iplatform -Iinclude -Isrc -I.)
system=(-lcapnp-rpc -lcapnp -lkj-async -lkj -ltbb -lglog -lboost_program_options
  -lxxhash -lcrypto -lzstd -lpthread)
compile() {
  g++ "${flags[@]}" -c "$1" -o "$out/$(basename "$1" .cpp).o"
}
pids=()
for it in "${soak[@]}" review/standin-3/*.cpp; do
  compile "$it" &
  pids+=($!)
done
for it in "${pids[@]}"; do wait "$it"; done
for it in "$out"/*Case.o; do
  g++ -o "${it%.o}" "$it" "$out/Fixture.o" "$out/StoreStandIn.o" "${libraries[@]}" \
    "${libraries[@]}" "${system[@]}"
done
