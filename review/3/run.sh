#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/bin/amberlb" ] && [ -x "$root/review/bin/memory" ] || { echo "build first" >&2; exit 2; }
exec "$root/review/bin/memory" "$root" "$folder"
