"""Resources, changes and deltas for the tests."""

from quincepath.fleet.configuration.changes import Change, Delta, Edit
from quincepath.fleet.configuration.resources import encode_resource


def node(name: str, port: int, shards: tuple[str, ...] = ("s1",), phase: str = "ready") -> bytes:
    url = f"http://10.0.0.1:{port}/read"
    return encode_resource({"name": name, "url": url, "shards": list(shards), "phase": phase})


def query_class(name: str, target: str = "140ms", deadline: str = "1s") -> bytes:
    return encode_resource({"name": name, "target": target, "deadline": deadline})


def tenant(name: str, weight: float) -> bytes:
    return encode_resource({"name": name, "weight": weight})


def change(id: str, *edits: Edit, rolls_back: int = 0, at: int = 1) -> Change:
    return Change(id, "ann", at, edits, rolls_back)


def weights(name: str, *values: float) -> list[Delta]:
    """Deltas of one tenant's weight, from revision 1 on."""
    found = []
    old: bytes | None = None
    for number, weight in enumerate(values, 1):
        new = tenant(name, weight)
        found.append(Delta(number, (Edit(f"tenant/{name}", old, new),)))
        old = new
    return found
