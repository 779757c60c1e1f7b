#!/usr/bin/env bash
# Runs the case copied-entries on loopback. Exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
[ -x target/review/stand_in ] && [ -x target/release/wagtailstalld ] || {
    echo "build the deploy file's programs and run review/build.sh first" >&2
    exit 2
}
folder=$(mktemp -d) || exit 2
end_processes() {
    # shellcheck disable=SC2046
    [ -f "$folder/pids" ] && kill -KILL $(cat "$folder/pids") 2>/dev/null
    rm -rf "$folder"
}
trap end_processes EXIT
timeout 118 target/review/stand_in copied-entries "$folder" "$case_folder/record.txt"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
