"""Loads YAML files into validated models; errors name file, line, key path, value and what was expected."""

from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

M = TypeVar("M", bound=BaseModel)
MAX_SHOWN_CHARS = 80  # of an invalid value, in an error message


class ConfigError(ValueError):
    """One or more errors in a file, each as one line in ``lines``."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def _to_plain_types(node: Any) -> Any:
    if isinstance(node, CommentedMap):
        return {key: _to_plain_types(value) for key, value in node.items()}
    if isinstance(node, CommentedSeq):
        return [_to_plain_types(value) for value in node]
    if isinstance(node, bool) or node is None:
        return node
    for plain_type in (str, int, float):  # scalars of the round-trip loader are subclasses
        if isinstance(node, plain_type):
            return plain_type(node)
    return node


def _line_number(root: Any, path: tuple[int | str, ...]) -> int:
    """Line number, from 1, of the deepest element of the path that exists in the file."""
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


def _format_path(path: tuple[int | str, ...]) -> str:
    text = ""
    for key in path:
        text += f"[{key}]" if isinstance(key, int) else f".{key}" if text else str(key)
    return text or "(whole file)"


def parse(text: str, model: type[M], name: str) -> M:
    """Validate the text of a file against a model. Raises ``ConfigError`` with all errors at once."""
    try:
        root = YAML(typ="rt").load(text)
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        raise ConfigError([f"{name}:{line}: not YAML: {error.problem or error.context}"]) from None
    except YAMLError as error:
        raise ConfigError([f"{name}:1: not YAML: {error}"]) from None
    try:
        return model.model_validate(_to_plain_types(root))
    except ValidationError as error:
        lines = []
        for item in error.errors():
            path = item["loc"]
            message = item["msg"].removeprefix("Value error, ")
            if item["type"] == "extra_forbidden":
                message = "unknown key"
            elif item["type"] == "missing":
                message = "missing, expected a value"
            value = repr(item["input"])
            shown = "" if isinstance(item["input"], (dict, list)) else f" is {value[:MAX_SHOWN_CHARS]}"
            lines.append(f"{name}:{_line_number(root, path)}: {_format_path(path)}{shown}: {message}")
        raise ConfigError(lines) from None


def load(path: Path, model: type[M]) -> M:
    """Read and validate a file. Raises ``ConfigError``, also if it cannot be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError([f"{path}: cannot be read: {error}"]) from None
    return parse(text, model, str(path))
