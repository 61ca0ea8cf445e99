"""Trials and dials of all brokers at one holder, in turns: the sum stays under a rate however many they are.

There is no common clock, so a turn is a length, not an instant: each broker has one every ``living / rate``,
from a beginning that a hash of broker and holder draws within that length. Turns of different holders at one
broker, and of different brokers at one holder, do not fall together. What a trial shows is the broker's own.
"""

from hashlib import blake2b

from quincepath.fleet.load_reports.types import SECOND, Totals
from quincepath.fleet.overload.types import OverloadSettings


def broker_count(totals: Totals | None, confidence: float, settings: OverloadSettings) -> float:
    """Brokers that take turns; as configured without knowledge. A belief never makes it fewer than half
    of those configured: who hears few must not take the turns of all the others."""
    if totals is None or confidence <= 0:
        return float(max(settings.brokers, 1))
    live = max(totals.live, 1, settings.brokers / 2)
    return settings.brokers + confidence * (live - settings.brokers)


def trial_rate(count: float, settings: OverloadSettings) -> float:
    """Sends a second of this broker to one doubted, cold or returned holder."""
    return min(settings.trial_rate / max(count, 1.0), settings.alone_trials)


def dial_rate(count: float, settings: OverloadSettings) -> float:
    """New connections a second of this broker to one holder."""
    return min(settings.dial_rate / max(count, 1.0), settings.alone_dials)


def next_turn(now: int, since: int, broker: str, holder: str, rate: float) -> int:
    """When this broker's next turn at a holder begins, ns: the first after ``now``."""
    if rate <= 0:
        return now + 3600 * SECOND
    interval = max(int(SECOND / rate), 1)
    digest = blake2b(f"{broker}\0{holder}".encode(), digest_size=6).digest()
    first = since + (int.from_bytes(digest) * interval >> 48)
    return first if first > now else first + ((now - first) // interval + 1) * interval
