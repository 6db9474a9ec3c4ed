#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 13 into target/review-3, after the
# build of the deploy file. Uses its libraries and the project's stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -I. -Isrc -Itests -Ibench -Ireview/standins-3
  -isystem src/wire"
common="review/standins-3/http_peer.cpp review/standins-3/engine.cpp
  review/standins-3/stage_engine.cpp review/standins-3/store_standin.cpp
  review/standins-3/deployment.cpp
  bench/lab/child_process.cpp
  tests/standins/standin_server.cpp tests/standins/store_standin.cpp"
objects=""
jobs=""
for source in $common review/1[1-5]/case.cpp; do
  [ -f "$source" ] || continue
  object="$out/$(echo "$source" | tr / _).o"
  # shellcheck disable=SC2086
  g++ $flags -c "$source" -o "$object" &
  jobs="$jobs $!"
  case "$source" in
  review/1*) ;;
  *) objects="$objects $object" ;;
  esac
done
for job in $jobs; do
  wait "$job"
done
for source in review/1[1-5]/case.cpp; do
  [ -f "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  # shellcheck disable=SC2086
  g++ "$out/$(echo "$source" | tr / _).o" $objects -o "$out/case-$number" \
    target/libmangolink_connection.a target/libmangolink_core.a \
    -labsl_strings -labsl_str_format_internal -labsl_strings_internal \
    -labsl_int128 -labsl_base -labsl_raw_logging_internal \
    -labsl_throw_delegate -lpthread
done
echo "built in $out"
