#!/bin/sh
# The stand-ins are plain modules of Node.js and need no build: checks that they
# can be read, and that the program was built by the deploy file's build line.
set -eu
cd "$(dirname "$0")"
for file in *.mjs */case.mjs; do node --check "$file"; done
test -x ../target/kingcupglade
