"""Typed resources: which kinds there are, and what their values may be, by the brokers' own schema.

A value is a msgpack map with the keys and spellings of a configuration file (``target: 140ms``). The models
of ``config/schema`` check it, so that a change is held to the bounds and words that a file is held to.
"""

from collections.abc import Mapping
from typing import Any
from urllib.parse import urlsplit

import msgspec
from pydantic import ValidationError

from quincepath.config.schema import ClassEntry, Holder, Model, NodeListEntry, TenantEntry
from quincepath.fleet.configuration.changes import (
    MAX_SHOWN_CHARACTERS,
    MAX_VALUE_BYTES,
    ChangeError,
    Fault,
)

KINDS: Mapping[str, type[Model]] = {
    "class": ClassEntry,
    "list": NodeListEntry,
    "node": Holder,
    "tenant": TenantEntry,
}
NODE, CLASS, TENANT = "node", "class", "tenant"
NODE_LIST = "list/nodes"  # absent: the nodes that are named are all

MAX_SHOWN_VALUE_CHARACTERS = 160  # characters


class _NodeUrl(msgspec.Struct):
    """The one key of a node that the index of addresses needs."""

    url: str


_node_urls = msgspec.msgpack.Decoder(_NodeUrl)
_encoder = msgspec.msgpack.Encoder(order="deterministic")


def split_name(name: str) -> tuple[str, str]:
    """Kind and name of a resource."""
    kind, _, rest = name.partition("/")
    return kind, rest


def encode_resource(entry: Mapping[str, Any]) -> bytes:
    """An entry as it would stand in a configuration file, keys sorted: equal entries have equal bytes."""
    return _encoder.encode(entry)


def decode_resource(name: str, value: bytes) -> Model:
    """One checked resource. Raises ``ChangeError`` with every fault: place, value, what was expected."""
    kind, own_name = split_name(name)
    model = KINDS.get(kind)
    if model is None:
        raise ChangeError([Fault(name, f"kind {kind!r}", f"one of {', '.join(sorted(KINDS))}", name)])
    if len(value) > MAX_VALUE_BYTES:
        raise ChangeError([Fault(name, f"{len(value)} bytes", f"at most {MAX_VALUE_BYTES}", name)])
    try:
        entry = msgspec.msgpack.decode(value, type=dict[str, Any])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ChangeError([Fault(name, f"{len(value)} bytes", f"a msgpack map: {error}", name)]) from None
    try:
        found = model.model_validate(entry)
    except ValidationError as error:
        raise ChangeError(_schema_faults(name, error)) from None
    said = getattr(found, "name", "")
    if said != own_name:
        expected = f"the resource's own name, {own_name!r}"
        raise ChangeError([Fault(f"{name}.name", repr(said), expected, name)])
    return found


def _schema_faults(name: str, error: ValidationError) -> list[Fault]:
    found = []
    for one in error.errors(include_url=False, include_context=False):
        path = "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in one["loc"])
        unknown = one["type"] == "extra_forbidden"
        said = one["msg"].removeprefix("Value error, ").removeprefix("expected ")
        words = "a key that the schema knows" if unknown else said
        found.append(Fault(f"{name}{path}", repr(one["input"])[:MAX_SHOWN_CHARACTERS], words, name))
    return found


def node_address(holder: Model) -> str:
    """``ADDRESS:PORT`` of a node: no two nodes may have the same."""
    assert isinstance(holder, Holder)
    return urlsplit(holder.url).netloc


def address_of_value(value: bytes) -> str | None:
    """The address of a node that was checked before. None: it is none that this version can read."""
    try:
        return urlsplit(_node_urls.decode(value).url).netloc
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError):
        return None


def format_value(value: bytes | None) -> str:
    """A value for people, bounded."""
    if value is None:
        return "absent"
    try:
        return repr(msgspec.msgpack.decode(value))[:MAX_SHOWN_VALUE_CHARACTERS]
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return f"{len(value)} bytes that are no msgpack"
