"""Reads YAML files into checked models; every error names file, line, path, value and what was expected."""

from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

M = TypeVar("M", bound=BaseModel)
SHOWN = 80  # characters of a wrong value that an error shows


class ConfigError(ValueError):
    """One or more errors in a file, a line each in ``lines``."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def _plain(node: Any) -> Any:
    if isinstance(node, CommentedMap):
        return {key: _plain(value) for key, value in node.items()}
    if isinstance(node, CommentedSeq):
        return [_plain(value) for value in node]
    if isinstance(node, bool) or node is None:
        return node
    for plain_type in (str, int, float):  # round-trip scalars are subclasses
        if isinstance(node, plain_type):
            return plain_type(node)
    return node


def _line(root: Any, path: tuple[int | str, ...]) -> int:
    """The line (from 1) of the deepest part of the path that stands in the file."""
    node, line = root, 1
    for key in path:
        if isinstance(node, CommentedMap) and key in node:
            line = node.lc.key(key)[0] + 1
        elif isinstance(node, CommentedSeq) and isinstance(key, int) and key < len(node):
            line = node.lc.item(key)[0] + 1
        else:
            break
        node = node[key]
    return line


def _path(path: tuple[int | str, ...]) -> str:
    text = ""
    for key in path:
        text += f"[{key}]" if isinstance(key, int) else f".{key}" if text else str(key)
    return text or "(whole file)"


def parse(text: str, model: type[M], name: str) -> M:
    """Check a file's text against a model. Raises ``ConfigError`` with all errors at once."""
    try:
        root = YAML(typ="rt").load(text)
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        raise ConfigError([f"{name}:{line}: not YAML: {error.problem or error.context}"]) from None
    except YAMLError as error:
        raise ConfigError([f"{name}:1: not YAML: {error}"]) from None
    try:
        return model.model_validate(_plain(root))
    except ValidationError as error:
        lines = []
        for item in error.errors():
            path = item["loc"]
            said = item["msg"].removeprefix("Value error, ")
            if item["type"] == "extra_forbidden":
                said = "unknown key"
            elif item["type"] == "missing":
                said = "missing, expected a value"
            value = repr(item["input"])
            shown = "" if isinstance(item["input"], (dict, list)) else f" is {value[:SHOWN]}"
            lines.append(f"{name}:{_line(root, path)}: {_path(path)}{shown}: {said}")
        raise ConfigError(lines) from None


def load(path: Path, model: type[M]) -> M:
    """Read and check a file. Raises ``ConfigError``, also where it cannot be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError([f"{path}: cannot be read: {error}"]) from None
    return parse(text, model, str(path))
