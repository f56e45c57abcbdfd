#!/bin/sh
# Case 3; see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m --add-opens=java.base/java.nio=ALL-UNNAMED -cp target/review:target/dunlinhitch.jar Case3 review/3
