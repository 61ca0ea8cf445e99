"""Label matchers: RE2, anchored, a missing label counting as the empty value. Pure."""

from collections.abc import Callable
from functools import lru_cache

import re2

from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher

LONGEST = 64 * 1024  # characters of an expression: RE2 is linear, but memory is not free


class MatcherError(ValueError):
    """A matcher that cannot be used; the text names it."""


@lru_cache(maxsize=1024)
def _compiled(pattern: str) -> Callable[[str], object]:
    options = re2.Options()
    options.log_errors = False
    full: Callable[[str], object] = re2.compile(pattern, options).fullmatch
    return full


def describe(matcher: LabelMatcher) -> str:
    """As people write it: ``district=~"north.*"``."""
    sign = {0: "=", 1: "!=", 2: "=~", 3: "!~"}.get(matcher.type, f"?{matcher.type}?")
    return f'{matcher.name}{sign}"{matcher.value[:100]}"'


def accepts(matcher: LabelMatcher) -> Callable[[str], bool]:
    """A test of one label value. Raises ``MatcherError``."""
    value = matcher.value
    match matcher.type:
        case LabelMatcher.EQ:
            return lambda text: text == value
        case LabelMatcher.NEQ:
            return lambda text: text != value
        case LabelMatcher.RE | LabelMatcher.NRE:
            if len(value) > LONGEST:
                raise MatcherError(f"{describe(matcher)}: an expression of {len(value)} characters")
            try:
                full = _compiled(value)
            except re2.error as error:
                text = error.args[0] if error.args else error
                said = text.decode("utf-8", "replace") if isinstance(text, bytes) else str(text)
                raise MatcherError(f"{describe(matcher)}: not an RE2 expression: {said}") from None
            if matcher.type == LabelMatcher.RE:
                return lambda text: full(text) is not None
            return lambda text: full(text) is None
        case other:
            raise MatcherError(f"{describe(matcher)}: unknown matcher type {other}")
