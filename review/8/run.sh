#!/bin/sh
# See claim.txt. TROUBLE=0: the primaries crash too, but no path is cut.
exec "$(dirname "$0")/../run-case-2.sh" late-order review/8
