#!/bin/sh
# See claim.txt. TROUBLE=0: the route changes too, but no replica is deaf.
exec "$(dirname "$0")/../run-case-2.sh" route-and-back review/7
