#!/usr/bin/env bash
# Builds the cases' programs into target/review/, after the build of the deploy file, from its libraries and the project's stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
sources="review/standins/fleet.cpp review/standins/worker.cpp platform/tests/standins/store_standin.cpp
platform/tests/standins/fault_proxy.cpp src/cells/tests/store_model.cpp
tests/process/child_process.cpp tests/process/http_call.cpp tests/process/process_tools.cpp"
flags="-std=c++20 -O1 -fsigned-char -DBOOST_ERROR_CODE_HEADER_ONLY -Isrc -I. -Itests/process -Ireview/standins"
libraries="target/platform/libtanagertally_adapter.a target/src/node/libtanagertally_node.a target/src/cells/libtanagertally_cells.a
target/src/caller/libtanagertally_http_server.a target/src/endpoint/libtanagertally_http_client.a target/src/peer/libtanagertally_transport.a
target/src/core/libtanagertally_core.a"
newest=$(ls -t review/standins/*.h platform/tests/standins/*.h | head -1)
pids=()
objects=()
for source in $sources review/[0-9]*/case.cpp; do
    object="$out/$(echo "${source%.cpp}" | tr / _).o"
    case $source in review/[0-9]*) ;; *) objects+=("$object") ;; esac
    [ "$object" -nt "$source" ] && [ "$object" -nt "$newest" ] && continue
    g++ $flags -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for folder in review/[0-9]*/; do
    number=$(basename "$folder")
    [ -e "$folder/case.cpp" ] || continue
    g++ -fuse-ld=lld "$out/review_${number}_case.o" "${objects[@]}" $libraries -lfmt -lyaml-cpp -lpthread -o "$out/case$number"
done
