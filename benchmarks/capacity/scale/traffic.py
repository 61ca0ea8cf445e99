"""What a broker has sent, by mechanism, out of the counters of its edge. Pure."""

from collections.abc import Mapping

from benchmarks.capacity.scale.messages import BrokerFigures
from benchmarks.capacity.scale.plan import Mechanism


def figures_of(name: str, sent: Mapping[str, float]) -> BrokerFigures:
    """``sent``: counts by the label ``what`` of ``quincepath_fleet_sent``; what is missing counts as 0."""
    count = {what: int(value) for what, value in sent.items()}

    def of(what: str) -> int:
        return count.get(what, 0)

    ledger_bytes, log_bytes = of("posted_bytes"), of("log_bytes")
    return BrokerFigures(
        name,
        {
            Mechanism.VIEW: of("datagrams") + of("frames") - of("log_frames"),
            Mechanism.LEDGER: of("posted"),
            Mechanism.LOG: of("log_frames"),
        },
        {
            Mechanism.VIEW: of("bytes") - ledger_bytes - log_bytes,
            Mechanism.LEDGER: ledger_bytes,
            Mechanism.LOG: log_bytes,
        },
    )
