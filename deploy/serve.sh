#!/bin/sh
# Starts one broker with JVM limits for its memory: heap and direct memory share what limits.memory_mb of the
# configuration leaves beside everything else (docs/budgets.md). Uses no other process: on some platforms
# a broker may start none. All arguments are passed on to the program, which refuses what it does not know;
# the options that name its files are also read here, in the forms that the program accepts.

# A SIGHUP until the program is started has nothing to reload: the program reads its files after that.
trap '' HUP

# Memory beside heap and direct memory, with the distance that is kept to the limit, in MB.
OTHER_MB=80
# What the classes of Arrow Flight add to OTHER_MB, which are in no archive.
FLIGHT_MB=16
# Direct memory in MB: this, and an eighth of what the limit has above LEAST_MB.
DIRECT_MB=8
LEAST_MB=112
# The least heap in MB: what a limit of LEAST_MB leaves.
LEAST_HEAP_MB=24
# Distance that is kept to the limit, in MB; part of OTHER_MB.
RESERVE_MB=16
# The limit that is assumed if the configuration has none, in MB.
DEFAULT_MB=192

config_file=${ROUTER_CONFIG:-/dev/null}
product_file=deploy/dunlinhitch.conf
previous=
for argument do
  case $previous in
    --config) config_file=$argument ;;
    --conf) product_file=$argument ;;
  esac
  case $argument in
    --config=*) config_file=${argument#*=} ;;
    --conf=*) product_file=${argument#*=} ;;
  esac
  previous=$argument
done

memory_mb=$DEFAULT_MB
flight_mb=0
# what is no regular file can be read only once, by the program: it gets the plan that fits every limit
if [ ! -f "$config_file" ] && [ "$config_file" != /dev/null ]; then
  memory_mb=$LEAST_MB
  config_file=/dev/null
elif [ ! -r "$config_file" ]; then
  config_file=/dev/null
fi
set -f
while IFS= read -r line || [ -n "$line" ]; do
  IFS='{},'
  # one field for each key of the JSON text; the line is not searched with a pattern, because that takes
  # time in the square of its length
  for field in $line; do
    case $field in
      *'"memory_mb"'*:*)
        value=${field#*:}
        value=${value#"${value%%[0-9]*}"}
        value=${value%%[!0-9]*}
        [ -n "$value" ] && memory_mb=$value
        ;;
      *'"protocol"'*:*'"flight"'*)
        flight_mb=$FLIGHT_MB
        ;;
    esac
  done
done < "$config_file"
unset IFS

# the two processes of a hot restart share one limit
if [ -n "$ROUTER_ACCEPT_FD" ]; then
  memory_mb=$(((memory_mb + RESERVE_MB) / 2))
fi
# below the least limit the program itself ends with an error
[ "$memory_mb" -lt "$LEAST_MB" ] && memory_mb=$LEAST_MB
direct_mb=$((DIRECT_MB + (memory_mb - LEAST_MB) / 8))

if [ -f "$product_file" ] && [ -r "$product_file" ]; then
  while read -r first second || [ -n "$first" ]; do
    case $first in
      # an included file may have the section
      '[flight'* | include)
        flight_mb=$FLIGHT_MB
        ;;
      '[')
        case $second in
          flight*) flight_mb=$FLIGHT_MB ;;
        esac
        ;;
    esac
  done < "$product_file"
elif [ -e "$product_file" ]; then
  flight_mb=$FLIGHT_MB
fi
heap_mb=$((memory_mb - OTHER_MB - flight_mb - direct_mb))
[ "$heap_mb" -lt "$LEAST_HEAP_MB" ] && heap_mb=$LEAST_HEAP_MB

# metaspace and compiled code are bounded against leaks only: a broker that has no room for classes serves nobody
export MALLOC_ARENA_MAX="${MALLOC_ARENA_MAX:-1}"
trap - HUP
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CICompilerCount=1 \
  -Xshare:auto -XX:SharedArchiveFile=target/dunlinhitch.jsa \
  -Xms16m "-Xmx${heap_mb}m" "-XX:MaxDirectMemorySize=${direct_mb}m" -Xss512k \
  -XX:MaxMetaspaceSize=48m -XX:ReservedCodeCacheSize=24m -XX:-UsePerfData \
  -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.numHeapArenas=1 \
  -jar target/dunlinhitch.jar serve "$@"
