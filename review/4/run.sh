#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case-4 ] || exit 2
[ -x target/platform/hornbeamweir-platform-entry ] || exit 2
exec timeout -k 1 119 review/bin/case-4 review/4
