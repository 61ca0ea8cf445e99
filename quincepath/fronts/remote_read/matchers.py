"""Label matchers: anchored RE2 expressions; a missing label counts as the empty value. Pure."""

from collections.abc import Callable
from functools import lru_cache

import re2

from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher

MAX_PATTERN_CHARS = 64 * 1024  # RE2 runs in linear time, but a long expression still takes memory


class MatcherError(ValueError):
    """A matcher is unusable; the message names it."""


@lru_cache(maxsize=1024)
def _compiled(pattern: str) -> Callable[[str], object]:
    options = re2.Options()
    options.log_errors = False
    fullmatch: Callable[[str], object] = re2.compile(pattern, options).fullmatch
    return fullmatch


def describe(matcher: LabelMatcher) -> str:
    """The matcher in PromQL notation: ``district=~"north.*"``."""
    operator = {0: "=", 1: "!=", 2: "=~", 3: "!~"}.get(matcher.type, f"?{matcher.type}?")
    return f'{matcher.name}{operator}"{matcher.value[:100]}"'


def accepts(matcher: LabelMatcher) -> Callable[[str], bool]:
    """Return a predicate of one label value. Raises ``MatcherError``."""
    value = matcher.value
    match matcher.type:
        case LabelMatcher.EQ:
            return lambda text: text == value
        case LabelMatcher.NEQ:
            return lambda text: text != value
        case LabelMatcher.RE | LabelMatcher.NRE:
            if len(value) > MAX_PATTERN_CHARS:
                raise MatcherError(f"{describe(matcher)}: an expression of {len(value)} characters")
            try:
                fullmatch = _compiled(value)
            except re2.error as error:
                cause = error.args[0] if error.args else error
                reason = cause.decode("utf-8", "replace") if isinstance(cause, bytes) else str(cause)
                raise MatcherError(f"{describe(matcher)}: not an RE2 expression: {reason}") from None
            if matcher.type == LabelMatcher.RE:
                return lambda text: fullmatch(text) is not None
            return lambda text: fullmatch(text) is None
        case other:
            raise MatcherError(f"{describe(matcher)}: unknown matcher type {other}")
