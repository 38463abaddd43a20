#!/bin/sh
# Plays the case. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/bin/review2" ] && [ -x "$root/bin/amberlb" ] || exit 2
exec "$root/bin/review2" -root "$root" -record "$folder/record.txt" -case early
