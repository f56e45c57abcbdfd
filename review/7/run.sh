#!/bin/sh
# Case 7: an id comes again at the other process of an upgrade.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
classes=$root/review/standins-2/classes
if [ ! -f "$classes/HotRestart.class" ] || [ ! -f "$root/target/dunlinhitch.jar" ]; then
    echo "run the build of the deploy file and review/build-2.sh first"
    exit 2
fi
# The clients' listening socket is held by the platform: here by perl, which makes it descriptor 0.
command -v perl >/dev/null || { echo "perl is missing"; exit 2; }
timeout -k 5 110 perl -MSocket -MPOSIX=dup2 -e '
    socket(my $s, PF_INET, SOCK_STREAM, 0) or exit 2;
    setsockopt($s, SOL_SOCKET, SO_REUSEADDR, 1);
    bind($s, sockaddr_in(0, INADDR_LOOPBACK)) or exit 2;
    listen($s, 1024) or exit 2;
    ($ENV{CASE_PORT}) = sockaddr_in(getsockname($s));
    dup2(fileno($s), 0) or exit 2;
    exec @ARGV or exit 2;
' java -Xmx512m -cp "$root/target/dunlinhitch.jar:$classes" HotRestart "$here" 2>&1
case $? in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
