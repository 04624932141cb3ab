#!/bin/sh
# The stand-ins are Python 3.11 or later (standard library only) and need no build.
exit 0
