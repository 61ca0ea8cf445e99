"""A broker whose wall clock is ahead: ``python -m quincepath.lab.fleet.skewed SECONDS WORDS...``.

Only the wall clock of the interpreter is moved; the monotonic one is the machine's. The program is started
as ``python -m quincepath`` starts it.
"""

import runpy
import sys
import time


def main() -> None:
    """Move the clock, then run the program with the words that follow."""
    ahead = float(sys.argv[1])
    wall, wall_ns = time.time, time.time_ns
    time.time = lambda: wall() + ahead
    time.time_ns = lambda: wall_ns() + int(ahead * 1e9)
    sys.argv = ["quincepath", *sys.argv[2:]]
    runpy.run_module("quincepath", run_name="__main__")


if __name__ == "__main__":
    main()
