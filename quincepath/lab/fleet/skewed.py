"""A broker whose wall clock is ahead: ``python -m quincepath.lab.fleet.skewed SECONDS WORDS...``.

Only the wall clock of the interpreter is moved; the monotonic one is the machine's.
"""

import sys
import time


def main() -> None:
    """Move the clock, then run the program with the words that follow."""
    ahead = float(sys.argv[1])
    wall, wall_ns = time.time, time.time_ns
    time.time = lambda: wall() + ahead
    time.time_ns = lambda: wall_ns() + int(ahead * 1e9)
    from quincepath.cli.main import main as program

    sys.argv = ["quincepath", *sys.argv[2:]]
    program()


if __name__ == "__main__":
    main()
