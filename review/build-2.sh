#!/usr/bin/env bash
# Builds the programs of the cases 6 and up into target/review-2, after the build of deploy/system.toml.
# The stand-ins of the project's tests are compiled here too; the libraries are those of that build.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -Isource -Itests -I.)
libraries=(target/libamaranth_transport.a target/libamaranth_support.a)
read -r -a linked <<<"$(pkg-config --libs liblog4cxx libcrypto)"
for source in ChildProcess Platform/RawServer Platform/StoreDouble; do
  g++ "${flags[@]}" -c "tests/Integration/$source.cpp" -o "$out/$(basename "$source").o" &
done
wait
for case in review/*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  [ "$number" -ge 6 ] || continue
  g++ "${flags[@]}" "$case" "$out"/ChildProcess.o "$out"/RawServer.o "$out"/StoreDouble.o \
    "${libraries[@]}" "${linked[@]}" -lpthread -o "$out/case-$number"
done
