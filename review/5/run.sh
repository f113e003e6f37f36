#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec node target/review/case-5.js review/5
