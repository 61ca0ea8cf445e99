"""Estimates the cost of a new shard map before it is used, and compares the estimate with what was measured.

``Sampler`` keeps a broker's footprints, ``Sample.merged`` merges samples, ``encode``, ``decode`` and
``SampleAssembler`` transfer them. ``forecast`` replays a sample through a map and ``verdict`` judges the
result by ``Rules``. After adoption ``compare_with_measured`` compares, and ``AccuracyRecord`` is what is
stored of it. Design: docs/design/forecast.md.
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
