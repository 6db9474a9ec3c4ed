#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into out/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/review-2
g++ -std=c++20 -O2 -pthread -o out/review-2/cases review/standins-2/*.cpp
