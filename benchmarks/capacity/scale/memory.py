"""How much memory objects take that are reachable from one, for one broker's share of a process."""

import gc
import sys
from collections.abc import Iterable
from types import BuiltinFunctionType, FunctionType, MethodType, ModuleType
from typing import Any

_SHARED = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType)


def reachable_bytes(roots: Iterable[Any], beyond: Iterable[Any]) -> int:
    """Bytes of all Python objects reachable from ``roots``.

    Code, types and callbacks are left out, and so is everything in ``beyond``: what belongs to somebody else.
    What a C library keeps inside an object without Python's knowledge is not seen.
    """
    seen = {id(one) for one in beyond}
    waiting = [one for one in roots if one is not None]
    total = 0
    while waiting:
        found = waiting.pop()
        if id(found) in seen or isinstance(found, _SHARED):
            continue
        seen.add(id(found))
        total += sys.getsizeof(found)
        waiting.extend(gc.get_referents(found))
    return total
