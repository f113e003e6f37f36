#!/bin/sh
# Builds the scripts of cases 6 to 10 with their stand-ins into target/review-2/. It needs the build
# of the deploy file before it, and no network.
set -e
cd "$(dirname "$0")/.."
for folder in review/6 review/7 review/8 review/9 review/10; do
  if [ -f "$folder/case.ts" ]; then
    node_modules/esbuild/bin/esbuild "$folder/case.ts" --bundle --platform=node --target=node20 \
      --format=esm --log-level=warning --outfile="target/review-2/$(basename "$folder").mjs"
  fi
done
