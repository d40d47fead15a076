#!/bin/bash
# Builds the stand-ins of the cases 12, 14 and 15 into build-review-3/. The project's
# program is built before, as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-3
mkdir -p "$out"
src=review/standins3
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c "$src/World.cpp" -o "$out/World.o"
for case in LostCase StaleCase MemoryCase; do
  g++ "${flags[@]}" "$src/$case.cpp" "$out/World.o" -o "$out/$case"
done
