#!/bin/sh
# See claim.txt. TROUBLE=0 leaves out all disruptions, TROUBLE=crash only the outage.
exec "$(dirname "$0")/../run-case.sh" lost review/1
