#!/bin/sh
# Plays the case in this folder.
cd "$(dirname "$0")" || exit 2
number=$(basename "$PWD")
cd ../.. || exit 2
exec node "target/review/case-$number.js" "review/$number"
