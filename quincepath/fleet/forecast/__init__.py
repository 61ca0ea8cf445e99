"""What a new shard map would cost, told before it is used, and held against what it did cost.

``Sampler`` keeps a broker's footprints, ``Sample.merged`` joins them, ``encode``, ``decode`` and
``SampleAssembler`` carry them; ``forecast`` replays a sample through a map, ``verdict`` judges by ``Rules``,
``compare_with_measured`` compares afterwards and ``AccuracyRecord`` is what the store keeps of it. Design:
docs/design/forecast.md.
"""

from quincepath.fleet.forecast.accuracy import (
    AccuracyRecord,
    Comparison,
    Deviation,
    compare_with_measured,
    decode_record,
)
from quincepath.fleet.forecast.footprints import Footprint, Part, Sample, Sampler, Source, query_hash
from quincepath.fleet.forecast.messages import SampleAssembler, SampleMessage, decode, encode
from quincepath.fleet.forecast.replay import forecast
from quincepath.fleet.forecast.types import (
    Environment,
    Figure,
    FigureKey,
    FigureKind,
    Forecast,
    ReplaySettings,
)
from quincepath.fleet.forecast.verdict import Answer, Limit, Rules, Verdict, Violation, verdict

__all__ = [
    "AccuracyRecord", "Answer", "Comparison", "Deviation", "Environment", "Figure", "FigureKey", "FigureKind",
    "Footprint", "Forecast", "Limit", "Part", "ReplaySettings", "Rules", "Sample", "SampleAssembler",
    "SampleMessage", "Sampler", "Source", "Verdict", "Violation", "compare_with_measured", "decode",
    "decode_record", "encode", "forecast", "query_hash", "verdict",
]  # fmt: skip
