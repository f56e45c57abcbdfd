#!/bin/sh
# Builds the stand-ins of the second review. Run after the build of the deploy file, whose jar holds
# the project's own stand-ins. Needs no network.
set -e
cd "$(dirname "$0")/standins-2"
rm -rf classes
mkdir classes
javac -nowarn -encoding UTF-8 -cp ../../target/dunlinhitch.jar -d classes ./*.java
