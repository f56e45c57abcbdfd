#!/bin/sh
# Compiles the cases and their stand-ins; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -cp target/dunlinhitch.jar -d target/review review/src/*.java
