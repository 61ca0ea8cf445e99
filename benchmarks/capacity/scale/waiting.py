"""Waiting on the loop for something that only looking can tell."""

from collections.abc import Callable

from quincepath.net.loop import Loop


def poll_until(loop: Loop, done: Callable[[], bool], longest: float, every: float) -> bool:
    """Look every so many seconds while the loop turns; whether it was done within ``longest`` seconds."""
    end = loop.clock() + int(longest * 1e9)
    while not done():
        left = (end - loop.clock()) / 1e9
        if left <= 0:
            return False
        pause(loop, min(every, left))
    return True


def pause(loop: Loop, seconds: float) -> None:
    """Turn the loop for so long."""
    loop.run_until(lambda: False, seconds)
