"""Messages of the load reports: versioned msgpack arrays, one datagram each (docs/design/ledger.md).

The envelope follows quincepath/fleet/messages.py: fields are only appended, ``min_schema`` is the lowest
schema that can read the message, bodies are decoded separately. ``MAGIC`` is the first byte, so that these
messages can share a socket with those of the fleet view, which begin with the head of an array. No wall clock
time is sent: times are ages in ms.
"""

from collections.abc import Iterable, Sequence
from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.load_reports.fields import FIELD_COUNT, MAX_VALUE, encode_runs, encoded_width
from quincepath.fleet.load_reports.load_counter import MAX_TENANT_NAME_LENGTH
from quincepath.fleet.messages import MAX_DATAGRAM_BYTES, Counter, Name, Rejected, Word64

SCHEMA = 1
MIN_SCHEMA = 1
MAGIC = b"\xc1L"  # 0xc1 begins no msgpack value
MAX_OVERHEAD_BYTES = 176  # of the envelope and the other fields of a body
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - MAX_OVERHEAD_BYTES
DROP_CAUSES = (
    "unreadable", "too large", "too old", "too new", "wrong fleet", "wrong name", "unknown member",
    "unknown kind", "not mine", "older", "second boot", "backwards", "jump", "clipped",
)  # fmt: skip

Value = Annotated[int, Meta(ge=0, le=MAX_VALUE)]
Small = Annotated[int, Meta(ge=0, le=1 << 20)]
Permille = Annotated[int, Meta(ge=0, le=1000)]
Runs = Annotated[tuple[Value, ...], Meta(max_length=MAX_DATAGRAM_BYTES)]
TenantName = Annotated[str, Meta(min_length=1, max_length=MAX_TENANT_NAME_LENGTH)]


class TenantUse(msgspec.Struct, array_like=True, frozen=True):
    """Of one tenant: slot time in ms and waiting queries; ``base_ms`` as in ``TenantCount``, 0 in sums."""

    name: TenantName
    slot_ms: Value
    waiting: Small = 0
    base_ms: Value = 0


TenantUses = Annotated[tuple[TenantUse, ...], Meta(max_length=256)]


class Report(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Some of the sender's counts; the others are unchanged. ``uptime_ms``: since counting began."""

    sequence: Counter
    uptime_ms: Counter
    threshold_permille: Permille
    waiting: Small
    runs: Runs
    tenants: TenantUses = ()


class SumMessage(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Sums over a window of a group (``down`` false), or of the fleet (true).

    Fields from ``low`` to below ``high`` that are not named are zero; so are other tenants, unless
    ``tenants`` is None. ``threshold_total``: the thresholds of the reporting members added up, permille.
    ``groups``: number of groups.
    """

    down: bool
    level: Annotated[int, Meta(ge=0, le=4)]
    index: Annotated[int, Meta(ge=0, le=1024)]
    groups: Annotated[int, Meta(ge=1, le=1024)]
    sequence: Counter
    reporting: Small
    age_ms: Small
    threshold_total: Small
    waiting: Small
    low: Annotated[int, Meta(ge=0, le=FIELD_COUNT)]
    high: Annotated[int, Meta(ge=0, le=FIELD_COUNT)]
    runs: Runs
    tenants: TenantUses | None = None


Body = Report | SumMessage


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Envelope of every message."""

    schema: Annotated[int, Meta(ge=0, le=1 << 16)]
    min_schema: Annotated[int, Meta(ge=0, le=1 << 16)]
    fleet: Name
    sender: Name
    recipient: Name
    boot: Word64
    body: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_body_decoder: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)


def encode(body: Body) -> msgspec.Raw:
    """Encode a body once for all its recipients."""
    return msgspec.Raw(_encoder.encode(body))


def pack(fleet: str, sender: str, boot: int, recipient: str, raw: msgspec.Raw) -> bytes:
    """Encode one complete datagram."""
    return MAGIC + _encoder.encode(Envelope(SCHEMA, SCHEMA, fleet, sender, recipient, boot, raw))


def unpack(data: bytes, fleet: str, recipient: str) -> tuple[Envelope, Body]:
    """Decode a message to this member. Raises ``Rejected``."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise Rejected("too large")
    if data[: len(MAGIC)] != MAGIC:
        raise Rejected("unreadable")
    try:
        envelope = _envelope_decoder.decode(memoryview(data)[len(MAGIC) :])
    except msgspec.MsgspecError:
        raise Rejected("unreadable") from None
    if envelope.schema < MIN_SCHEMA:
        raise Rejected("too old")
    if envelope.min_schema > SCHEMA:
        raise Rejected("too new")
    if envelope.fleet != fleet:
        raise Rejected("wrong fleet")
    if envelope.recipient != recipient or envelope.sender == recipient:
        raise Rejected("wrong name")
    try:
        return envelope, _body_decoder.decode(envelope.body)
    except msgspec.MsgspecError:
        raise Rejected("unknown kind") from None


def encoded_size(tenant: TenantUse) -> int:
    """Maximum size of a tenant in a message, bytes."""
    return (
        3
        + len(tenant.name.encode())
        + encoded_width(tenant.slot_ms)
        + encoded_width(tenant.waiting)
        + encoded_width(tenant.base_ms)
    )


def fit_tenants(tenants: Iterable[TenantUse], space: int) -> tuple[TenantUse, ...]:
    """As many of the tenants, in order, as fit into the space."""
    fitting = []
    for tenant in tenants:
        space -= encoded_size(tenant)
        if space < 0:
            break
        fitting.append(tenant)
    return tuple(fitting)


SumPart = tuple[int, int, tuple[int, ...]]  # low, high, runs


def split_sum(values: dict[int, int], first_space: int) -> list[SumPart]:
    """Split sums into ranges that each fit a datagram, the first in less space. Together they name all."""
    parts: list[SumPart] = []
    numbers: list[int] = []
    low, space, next_number = 0, first_space, -1
    for number in sorted(values):
        needed = encoded_width(values[number]) + (0 if number == next_number else 4)
        if needed > space:
            parts.append((low, number, encode_runs(values, numbers)))
            numbers, low, space = [], number, MAX_BODY_BYTES
            needed = encoded_width(values[number]) + 4
        numbers.append(number)
        space -= needed
        next_number = number + 1
    parts.append((low, FIELD_COUNT, encode_runs(values, numbers)))
    return parts


class ReportBuilder:
    """Chooses the counts of the next report: changed ones first, among those the ones sent longest ago.

    A quarter of the space is for the fields sent longest ago, changed or not, so that every field is sent
    again whatever changes: of the largest report (2,373 fields of 9 bytes) within 55 periods (15 where half
    of all change in each), of a report that fits its datagrams in every period.
    """

    def __init__(self, datagrams: int) -> None:
        self._datagrams = datagrams
        self._sent: dict[
            int, tuple[int, int]
        ] = {}  # by field: sequence of the last report with it, and the value sent
        self._tenants_sent: dict[
            str, tuple[int, int]
        ] = {}  # by tenant: sequence of the last report with it, and the slot time sent
        self._sequence = 0

    def _send_order(self, number: int, value: int) -> tuple[bool, int]:
        report, sent_value = self._sent.get(number, (-1, -1))
        return sent_value == value, report

    def build(
        self,
        values: dict[int, int],
        tenants: Sequence[TenantUse],
        uptime_ms: int,
        threshold_permille: int,
        waiting: int,
    ) -> list[Report]:
        """The datagrams of the next report."""
        self._sequence += 1
        sent = self._sent
        order = sorted(values, key=lambda n: (*self._send_order(n, values[n]), n))
        # Tenants take at most half of the first datagram where there are several.
        by_age = sorted(tenants, key=lambda tenant: self._tenants_sent.get(tenant.name, (-1, -1)))
        named = fit_tenants(by_age, MAX_BODY_BYTES // 2 if self._datagrams > 1 else MAX_BODY_BYTES // 3)
        spaces = [MAX_BODY_BYTES - sum(map(encoded_size, named))] + [MAX_BODY_BYTES] * (self._datagrams - 1)
        refresh_space = sum(spaces) // 4
        chosen: list[set[int]] = [set() for _ in spaces]
        space_left = [room - 8 for room in spaces]
        selected: set[int] = set()

        def select(numbers: Iterable[int], space: int) -> None:
            datagram = 0
            for number in numbers:
                needed = encoded_width(values[number]) + (0 if number - 1 in chosen[datagram] else 4)
                if space_left[datagram] < needed:
                    datagram, needed = datagram + 1, encoded_width(values[number]) + 4
                space -= needed
                if datagram == len(space_left) or space_left[datagram] < needed or space < 0:
                    return
                space_left[datagram] -= needed
                selected.add(number)
                chosen[datagram].add(number)

        run_headers = sum(4 for number in values if number - 1 not in values)
        if sum(map(encoded_width, values.values())) + run_headers > sum(space_left) - 16:
            select(sorted(values, key=lambda n: sent.get(n, (-1, 0))[0]), refresh_space)
        select((number for number in order if number not in selected), sum(spaces))
        for number in selected:
            sent[number] = (self._sequence, values[number])
        self._tenants_sent = {
            tenant.name: self._tenants_sent.get(tenant.name, (-1, -1)) for tenant in tenants
        }
        for tenant in named:
            self._tenants_sent[tenant.name] = (self._sequence, tenant.slot_ms)
        messages = []
        for index, numbers in enumerate(chosen):
            if numbers or not index:
                runs = encode_runs(values, sorted(numbers))
                messages.append(
                    Report(
                        self._sequence,
                        uptime_ms,
                        threshold_permille,
                        waiting,
                        runs,
                        named if not index else (),
                    )
                )
        return messages
