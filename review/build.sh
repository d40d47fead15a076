#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, one program a case. Needs only g++.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for Source in review/[0-9]/Case.cpp; do
  Case=$(basename "$(dirname "$Source")")
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -I. "$Source" -o "target/review/case-$Case"
done
