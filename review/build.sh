#!/bin/sh
# Builds the stand-ins that the scripts start, into target/review/.
set -e
cd "$(dirname "$0")/.."
entries=${1:-$(ls review/*/case.ts)}
for entry in $entries; do
  number=$(basename "$(dirname "$entry")")
  node_modules/esbuild/bin/esbuild "case-$number=$entry" --outdir=target/review --bundle \
    --platform=node --target=node20 --format=esm --log-level=warning
done
