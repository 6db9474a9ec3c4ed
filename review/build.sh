#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review/. They
# use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  number="$(basename "$(dirname "$source")")"
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Werror -pthread -I review \
    -o "target/review/case-$number" "$source" review/standins/*.cpp
done
echo "built: $(ls target/review)"
