#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# VARIANT=timed plays the second way to the same fault.
exec python3 -B "$(dirname "$0")/${VARIANT:-play}.py"
