"""Parses the startup text (one ``path=value`` per line) into ``Settings``: names and types, no values."""

from collections.abc import Callable
from typing import Any, TypeVar

from quincepath.interface import Effect, Limits, QueryClass, Rules, Settings

T = TypeVar("T")


class SettingsError(ValueError):
    """A setting is missing or invalid; the text names it."""


def _flag(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(text)
    return text == "true"


def _items(text: str) -> tuple[str, ...]:
    return tuple(text.split(",")) if text else ()


def _numbers(text: str) -> tuple[float, ...]:
    return tuple(float(item) for item in _items(text))


def _expected(parse: Callable[[str], Any]) -> str:
    """Describes in words the values that a parser accepts."""
    if parse is Effect:
        return " or ".join(effect.value for effect in Effect)
    words = {
        int: "a whole number",
        float: "a number",
        _flag: "true or false",
        _numbers: "numbers with commas",
    }
    return words.get(parse, "another value")


class Reader:
    """Looks up values by path, so that an error can name the path."""

    def __init__(self, text: str) -> None:
        self.values = dict(line.partition("=")[::2] for line in text.splitlines() if "=" in line)

    def get(self, path: str, parse: Callable[[str], T], default: T | None = None) -> T:
        """One setting; raises ``SettingsError`` if it is missing without a default or cannot be parsed."""
        text = self.values.get(path)
        if text is None:
            if default is None:
                raise SettingsError(f"setting {path} is missing")
            return default
        try:
            return parse(text)
        except (ValueError, OverflowError):
            raise SettingsError(
                f"setting {path} is unreadable: {text!r}, {_expected(parse)} was expected"
            ) from None

    def item(self, path: str, index: int, default: float | None = None) -> float:
        """One number of a list of numbers."""
        fallback: tuple[float, ...] | None = None if default is None else ()
        values = self.get(path, _numbers, fallback)
        if index < len(values):
            return values[index]
        if default is None:
            raise SettingsError(f"setting {path} has no item {index}")
        return default


def _query_class(reader: Reader, i: int) -> QueryClass:
    prefix = f"classes.{i}."
    effect = reader.get(prefix + "effect", Effect)
    need = reader.item("specifics.needByClass", i)
    return QueryClass(
        name=reader.get(prefix + "name", str, str(i)),
        target=reader.get(prefix + "target", int),
        deadline=reader.get(prefix + "deadline", int),
        effect=effect,
        window=reader.get(prefix + "window", int, None if effect is Effect.KEYED else 0),
        late_worth=reader.get(prefix + "lateWorth", float, 0.0),
        need=need,
        floor=reader.item("specifics.classFloor", i, need),
        second_step=int(reader.item("specifics.secondStep", i, 0.0)),
    )


def read_settings(text: str) -> Settings:
    """Build ``Settings``; ignores unknown paths, raises ``SettingsError`` for missing required ones."""
    reader = Reader(text)
    budget_window = reader.get("rules.countedOver", int, 0)
    return Settings(
        me=reader.get("me", int, 0),
        instances=reader.get("instances", int),
        zone=reader.get("az", int, 0),
        tick=reader.get("tick", int),
        cells=reader.get("specifics.places", int),
        reach=reader.get("specifics.inARow", int),
        must_ask=reader.get("discovery", str, "push") == "ask",
        cross_zone_charge=reader.get("charges.crossZone", float, 0.0),
        call_work=reader.get("specifics.perCallWork", int, 0),
        classes=tuple(_query_class(reader, i) for i in range(reader.get("classes.count", int))),
        limits=Limits(
            attempts=reader.get("limits.tryLimit", int),
            cancel=reader.get("limits.mayCancel", _flag, False),
            duplicate=reader.get("limits.mayDuplicate", _flag, False),
            retry_after=reader.get("limits.retryAfter", _flag, False),
            max_retry_after=reader.get("limits.maxRetryAfter", int, 0),
            connect_timeout=reader.get("limits.dialTimeout", int, 0),
            idle_close=reader.get("limits.idleClose", int, 0),
            batch=reader.get("specifics.batch", int, 1),
        ),
        rules=Rules(
            cold_share=reader.get("rules.coldShare", float),
            ramp_time=reader.get("rules.rampTime", int),
            fall_multiple=reader.get("rules.fallMultiple", float),
            overload_for=reader.get("rules.overloadFor", int),
            must_ask_in=reader.get("rules.mustAskIn", int, 0),
            budget_window=budget_window,
            budget_free=reader.get("rules.freeResends", float, 0.0),
            budget_ratio=reader.get("rules.repeatRatio", float, 0.0),
        ),
    )
