"""The binary wire format: batches of events in, replies with actions out. It makes no decisions."""

from dataclasses import dataclass
from struct import Struct

from quincepath.interface import (
    Action,
    Answer,
    Cancel,
    Entry,
    Event,
    Fail,
    Fetch,
    FromPeer,
    Left,
    Log,
    Members,
    NodeId,
    Opened,
    Outcome,
    Part,
    Phase,
    Probe,
    Probed,
    Query,
    Refuse,
    Result,
    Scope,
    Send,
    SetTimer,
    TimerFired,
    Watch,
)

BATCH = Struct(">QII")
REPLY = Struct(">II")
EVENT_SIZE = 56
ACTION_SIZE = 24

_INIT = Struct(">xIQII")
_MEMBERS = Struct(">xIBIH")
_REQUEST = Struct(">xIIQfQHBHQff")
_OPENED = Struct(">xIIHQ6s")
_OUTCOME = Struct(">xIIH6sHQBB4f")
_LEFT = Struct(">xII")
_TIMER = Struct(">xIQ")
_PROBED = Struct(">xI6sHQB4f")
_PEER = Struct(">xIIII")
_STOP = Struct(">xI")
_NODE_LIST = Struct(">xHII")
_ENTRY = Struct(">BB6sQHBf")

_SEND = Struct(">BII6sQ")
_REFUSE = Struct(">BIIQ")
_SET_TIMER = Struct(">BIQQ")
_CANCEL = Struct(">BIIH")
_ID = Struct(">BII")
_ID_FLAG = Struct(">BIIB")
_FLAG = Struct(">BIB")
_NODE = Struct(">BI6s")
_TEXT = Struct(">BIII")
_CODE_ONLY = Struct(">BI")

REPEAT_FLAG = 2


class WireError(ValueError):
    """A frame does not follow the wire format; the text says what is wrong and where."""


@dataclass(slots=True, frozen=True)
class Start:
    """A new instance, with its seed and the text of its settings."""

    seed: int
    settings: str


@dataclass(slots=True, frozen=True)
class Stop:
    """An instance was killed."""


@dataclass(slots=True, frozen=True)
class Fault:
    """The decision module of an instance has failed."""

    text: str


Lists = dict[int, tuple[Entry, ...]]
Incoming = tuple[int, Event | Start | Stop]


def _cut(body: bytes, tail: int, offset: int, size: int, where: str) -> bytes:
    start = tail + offset
    if start + size > len(body):
        raise WireError(
            f"{where}: tail reference {offset}+{size} is past the tail's {len(body) - tail} bytes"
        )
    return body[start : start + size]


def _entries(body: bytes, tail: int, offset: int, count: int, where: str) -> tuple[Entry, ...]:
    found = []
    for kind, zone, node, since, cell, phase, nominal in _ENTRY.iter_unpack(
        _cut(body, tail, offset, count * _ENTRY.size, where)
    ):
        try:
            found.append(Entry(node, kind, zone, cell, since, Phase(phase), nominal))
        except ValueError:
            raise WireError(f"{where}: unknown phase {phase}") from None
    return tuple(found)


def _result(code: int, where: str) -> Result:
    try:
        return Result(code)
    except ValueError:
        raise WireError(f"{where}: unknown outcome {code}") from None


def decode_batch(body: bytes, count: int, lists: Lists) -> list[Incoming]:
    """Decode the records of one batch; numbered node lists are added to ``lists`` on the way."""
    tail = count * EVENT_SIZE
    if tail > len(body):
        raise WireError(f"batch: {count} records do not fit {len(body)} bytes")
    found: list[Incoming] = []
    for index in range(count):
        at = index * EVENT_SIZE
        code = body[at]
        where = f"record {index} (code {code})"
        if code == 30:
            i, request_id, cost, size, key, flags, kind, tenant, left, shard, number = _REQUEST.unpack_from(
                body, at
            )
            cost = cost if flags & 1 else 0
            if shard < 0:
                repeat = bool(flags & REPEAT_FLAG)
                found.append(
                    (i, Query(request_id, int(number), int(size), kind, tenant, left, key, cost, repeat))
                )
            else:
                found.append((i, Part(request_id, int(number), size, int(shard), key, cost)))
        elif code == 50:
            i, request_id, attempt, node, result, delay, final, n, *report = _OUTCOME.unpack_from(body, at)
            found.append(
                (
                    i,
                    Outcome(
                        request_id,
                        attempt,
                        node,
                        _result(result, where),
                        delay,
                        final != 0,
                        tuple(report[:n]),
                    ),
                )
            )
        elif code == 70:
            i, token = _TIMER.unpack_from(body, at)
            found.append((i, TimerFired(token)))
        elif code == 20:
            i, scope, version, list_id = _MEMBERS.unpack_from(body, at)
            if scope not in Scope.__members__.values():
                raise WireError(f"{where}: unknown list scope {scope}")
            if scope != Scope.FAILED and list_id not in lists:
                raise WireError(f"{where}: list {list_id} was never registered")
            entries = () if scope == Scope.FAILED else lists[list_id]
            found.append((i, Members(Scope(scope), version, entries)))
        elif code == 110:
            list_id, offset, size = _NODE_LIST.unpack_from(body, at)
            lists[list_id] = _entries(body, tail, offset, size, where)
        elif code == 60:
            i, request_id = _LEFT.unpack_from(body, at)
            found.append((i, Left(request_id)))
        elif code == 10:
            i, seed, offset, size = _INIT.unpack_from(body, at)
            text = _cut(body, tail, offset, size, where)
            found.append((i, Start(seed, text.decode("utf-8", "replace"))))
        elif code == 100:
            found.append((_STOP.unpack_from(body, at)[0], Stop()))
        elif code == 80:
            i, node, result, delay, n, *report = _PROBED.unpack_from(body, at)
            found.append((i, Probed(node, _result(result, where), delay, tuple(report[:n]))))
        elif code == 40:
            i, request_id, attempt, _, node = _OPENED.unpack_from(body, at)
            found.append((i, Opened(request_id, attempt, node)))
        elif code == 90:
            i, sender, offset, size = _PEER.unpack_from(body, at)
            found.append((i, FromPeer(sender, _cut(body, tail, offset, size, where))))
        else:
            raise WireError(f"record {index}: unknown event code {code}")
    return found


def _record(i: int, action: Action | Fault, tail: bytearray) -> bytes:
    match action:
        case Send(part, node, timeout):
            return _SEND.pack(10, i, part, node, timeout)
        case SetTimer(at, token):
            return _SET_TIMER.pack(50, i, at, token)
        case Answer(request_id, full):
            return _ID_FLAG.pack(130, i, request_id, full)
        case Refuse(request_id, retry_in):
            return _REFUSE.pack(20, i, request_id, retry_in)
        case Fail(request_id):
            return _ID.pack(30, i, request_id)
        case Cancel(part, attempt):
            return _CANCEL.pack(40, i, part, attempt)
        case Watch(on):
            return _FLAG.pack(110, i, on)
        case Fetch():
            return _CODE_ONLY.pack(120, i)
        case Probe(node):
            return _NODE.pack(60, i, _node(node))
        case Log(text) | Fault(text):
            encoded = text.encode()
            offset = len(tail)
            tail += encoded
            return _TEXT.pack(90 if isinstance(action, Log) else 100, i, offset, len(encoded))


def _node(node: NodeId) -> bytes:
    if len(node) != 6:
        raise WireError(f"node {node!r} is not six bytes")
    return node


def encode_reply(actions: list[tuple[int, Action | Fault]]) -> bytes:
    """Encode one reply: header, records, tail."""
    tail = bytearray()
    records = b"".join(_record(i, action, tail).ljust(ACTION_SIZE, b"\0") for i, action in actions)
    return REPLY.pack(len(actions), len(records) + len(tail)) + records + tail
