"""quincepath: the decisions of a query aggregator, as a library.

The two names are loaded when they are asked for: ``python -m`` imports this before the program can take a
signal.
"""

TYPE_CHECKING = False  # as the type checker knows it, without an import
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
