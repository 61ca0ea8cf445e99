"""Typed resources: their kinds, and the validation of their values by the brokers' own schema.

A value is a msgpack map with the keys and spellings of a configuration file (``target: 140ms``). The models
of ``config/schema`` validate it, so that a change has the same bounds and error texts as a file.
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
NODE_LIST = "list/nodes"  # absent: the list of distributed nodes is complete

MAX_SHOWN_VALUE_CHARACTERS = 160


class _NodeUrl(msgspec.Struct):
    """The only key of a node that the index by address needs."""

    url: str


_node_urls = msgspec.msgpack.Decoder(_NodeUrl)
_encoder = msgspec.msgpack.Encoder(order="deterministic")


def split_name(name: str) -> tuple[str, str]:
    """Kind and name of a resource."""
    kind, _, rest = name.partition("/")
    return kind, rest


def encode_resource(entry: Mapping[str, Any]) -> bytes:
    """Encode an entry of a configuration file with sorted keys: equal entries have equal bytes."""
    return _encoder.encode(entry)


def decode_resource(name: str, value: bytes) -> Model:
    """Validate and decode one resource. Raises ``ChangeError`` with all faults: place, value, expectation."""
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
        resource = model.model_validate(entry)
    except ValidationError as error:
        raise ChangeError(_schema_faults(name, error)) from None
    entry_name = getattr(resource, "name", "")
    if entry_name != own_name:
        expected = f"the resource's own name, {own_name!r}"
        raise ChangeError([Fault(f"{name}.name", repr(entry_name), expected, name)])
    return resource


def _schema_faults(name: str, error: ValidationError) -> list[Fault]:
    faults = []
    for one in error.errors(include_url=False, include_context=False):
        path = "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in one["loc"])
        unknown = one["type"] == "extra_forbidden"
        message = one["msg"].removeprefix("Value error, ").removeprefix("expected ")
        expected = "a key that the schema knows" if unknown else message
        faults.append(Fault(f"{name}{path}", repr(one["input"])[:MAX_SHOWN_CHARACTERS], expected, name))
    return faults


def node_address(holder: Model) -> str:
    """``ADDRESS:PORT`` of a node, which must be unique among the nodes."""
    assert isinstance(holder, Holder)
    return urlsplit(holder.url).netloc


def address_of_value(value: bytes) -> str | None:
    """The address of a node whose value was validated before. None: this version cannot read it."""
    try:
        return urlsplit(_node_urls.decode(value).url).netloc
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError):
        return None


def format_value(value: bytes | None) -> str:
    """A value as readable text of bounded length."""
    if value is None:
        return "absent"
    try:
        return repr(msgspec.msgpack.decode(value))[:MAX_SHOWN_VALUE_CHARACTERS]
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return f"{len(value)} bytes that are no msgpack"
