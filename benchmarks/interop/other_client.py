"""A remote read client that shares no library with the program: pure-protobuf, and snappy by pyarrow.

    python other_client.py URL METRIC START_MS END_MS

Runs by itself in an environment with ``pure-protobuf`` and ``pyarrow``. Prints one JSON object: the request's
bytes, and the series of the answer.
"""

import json
import sys
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Annotated
from urllib.request import Request, urlopen

import pyarrow  # type: ignore[import-not-found]
from pure_protobuf.annotations import Field, double  # type: ignore[import-not-found]
from pure_protobuf.message import BaseMessage  # type: ignore[import-not-found]


class Kind(IntEnum):
    """Of a matcher."""

    EQ = 0
    NEQ = 1
    RE = 2
    NRE = 3


@dataclass
class Matcher(BaseMessage):  # type: ignore[misc]
    """LabelMatcher."""

    kind: Annotated[Kind, Field(1)] = Kind.EQ
    name: Annotated[str, Field(2)] = ""
    value: Annotated[str, Field(3)] = ""


@dataclass
class Query(BaseMessage):  # type: ignore[misc]
    """Query."""

    start: Annotated[int, Field(1)] = 0
    end: Annotated[int, Field(2)] = 0
    matchers: Annotated[list[Matcher], Field(3)] = field(default_factory=list)


@dataclass
class Read(BaseMessage):  # type: ignore[misc]
    """ReadRequest."""

    queries: Annotated[list[Query], Field(1)] = field(default_factory=list)


@dataclass
class Sample(BaseMessage):  # type: ignore[misc]
    """Sample."""

    value: Annotated[double, Field(1)] = 0.0
    timestamp: Annotated[int, Field(2)] = 0


@dataclass
class Label(BaseMessage):  # type: ignore[misc]
    """Label."""

    name: Annotated[str, Field(1)] = ""
    value: Annotated[str, Field(2)] = ""


@dataclass
class Series(BaseMessage):  # type: ignore[misc]
    """TimeSeries."""

    labels: Annotated[list[Label], Field(1)] = field(default_factory=list)
    samples: Annotated[list[Sample], Field(2)] = field(default_factory=list)


@dataclass
class Result(BaseMessage):  # type: ignore[misc]
    """QueryResult."""

    series: Annotated[list[Series], Field(1)] = field(default_factory=list)


@dataclass
class Answer(BaseMessage):  # type: ignore[misc]
    """ReadResponse."""

    results: Annotated[list[Result], Field(1)] = field(default_factory=list)


def stated_length(data: bytes) -> int:
    """The uncompressed length that a snappy block states in front, a varint."""
    length = shift = 0
    for byte in data:
        length |= (byte & 0x7F) << shift
        shift += 7
        if byte < 0x80:
            break
    return length


def main(url: str, metric: str, start: str, end: str) -> None:
    """Ask and print."""
    matchers = [Matcher(Kind.EQ, "__name__", metric), Matcher(Kind.RE, "district", "north.*|river.*")]
    message = bytes(Read([Query(int(start), int(end), matchers)]))
    body = pyarrow.compress(message, codec="snappy", asbytes=True)
    headers = {
        "Content-Type": "application/x-protobuf",
        "Content-Encoding": "snappy",
        "X-Prometheus-Remote-Read-Version": "0.1.0",
    }
    with urlopen(Request(url, body, headers), timeout=10) as response:
        packed = response.read()
        mark = response.headers["Quincepath-Answer"]
    raw = pyarrow.decompress(packed, stated_length(packed), codec="snappy", asbytes=True)
    answer = Answer.loads(raw)
    series = [
        {
            "labels": {label.name: label.value for label in one.labels},
            "samples": [[sample.timestamp, sample.value] for sample in one.samples],
        }
        for one in answer.results[0].series
    ]
    print(json.dumps({"request": body.hex(), "mark": mark, "series": series}))


if __name__ == "__main__":
    main(*sys.argv[1:])
