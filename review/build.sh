#!/bin/sh
# Builds the stand-ins of the review into target/review. They need nothing but
# the standard library.
cd "$(dirname "$0")/standins" || exit 2
exec cargo build --release --offline --locked --target-dir ../../target/review
