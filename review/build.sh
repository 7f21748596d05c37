#!/bin/sh
# Builds the programs of the cases, with the project's own doubles of the store
# and of servers, into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
sources="tests/Integration/Platform/RawServer.cpp
  tests/Integration/Platform/StoreDouble.cpp tests/Integration/ChildProcess.cpp
  source/Transport/HttpReader.cpp source/Transport/HttpHead.cpp
  source/Support/Digest.cpp source/Support/Error.cpp"
flags="-std=c++20 -O1 -Isource -Itests -Ireview"
objects=
for file in $sources; do
  object="target/review/$(basename "$file" .cpp).o"
  g++ $flags -c "$file" -o "$object"
  objects="$objects $object"
done
for case in review/[1-5]; do
  if [ -f "$case/case.cpp" ]; then
    g++ $flags "$case/case.cpp" $objects -o "target/review/case-$(basename "$case")" -lcrypto -pthread
  fi
done
