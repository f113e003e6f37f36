#!/usr/bin/env bash
# Builds the stand-ins and cases of this review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/1[1-5]/case.ts; do
  node_modules/.bin/esbuild "$case" --bundle --platform=node --format=esm --target=node20 \
    --log-level=warning --outfile="target/review-3/$(basename "$(dirname "$case")").mjs"
done
