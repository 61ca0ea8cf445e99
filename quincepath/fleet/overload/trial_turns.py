"""Turns of all brokers for trial sends and new connections to one node, so that their sum stays below a rate.

There is no common clock, so a turn is an interval, not a time: each broker has one turn in every ``broker
count / rate``, with a phase within it that is a hash of broker and node. Turns for different nodes at one
broker, and of different brokers for one node, do not coincide. The result of a trial is used by the broker
that made it.
"""

from hashlib import blake2b

from quincepath.fleet.load_reports.types import SECOND, Totals
from quincepath.fleet.overload.types import OverloadSettings


def broker_count(totals: Totals | None, confidence: float, settings: OverloadSettings) -> float:
    """Brokers that take turns; as configured where the totals are not known. An estimate never makes it fewer
    than half of those configured: a broker that hears few others must not take the turns of all the others.
    """
    if totals is None or confidence <= 0:
        return float(max(settings.brokers, 1))
    live = max(totals.live, 1, settings.brokers / 2)
    return settings.brokers + confidence * (live - settings.brokers)


def trial_rate(count: float, settings: OverloadSettings) -> float:
    """Trial sends a second of this broker to one suspected, cold or returned node."""
    return min(settings.trial_rate / max(count, 1.0), settings.alone_trials)


def dial_rate(count: float, settings: OverloadSettings) -> float:
    """New connections a second of this broker to one node."""
    return min(settings.dial_rate / max(count, 1.0), settings.alone_dials)


def next_turn(now: int, since: int, broker: str, node: str, rate: float) -> int:
    """When this broker's next turn for a node begins, ns: the first after ``now``."""
    if rate <= 0:
        return now + 3600 * SECOND
    interval = max(int(SECOND / rate), 1)
    digest = blake2b(f"{broker}\0{node}".encode(), digest_size=6).digest()
    first = since + (int.from_bytes(digest) * interval >> 48)
    return first if first > now else first + ((now - first) // interval + 1) * interval
