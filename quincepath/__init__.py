"""quincepath: the decision logic of a query aggregator, as a library.

The two exported names are imported lazily, because ``python -m`` imports this package before the program can
handle signals.
"""

TYPE_CHECKING = False  # set by the type checker; spares the import of typing
if TYPE_CHECKING:
    from quincepath.interface import Settings
    from quincepath.policy import Aggregator

__all__ = ["Aggregator", "Settings"]


def __getattr__(name: str) -> object:
    if name == "Settings":
        from quincepath.interface import Settings

        return Settings
    if name == "Aggregator":
        from quincepath.policy import Aggregator

        return Aggregator
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
