"""Guards on the decision module's size and imports, and on its depending on its events alone."""

import ast
import os
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
POLICY = sorted((ROOT / "quincepath" / "policy").glob("*.py"))
MAX_MODULE_LINES = 250
MAX_FUNCTION_LINES = 50
MAX_LINE_LENGTH = 110

SCRIPT = """
from tests.helpers import Broker, query_class, settings
from quincepath.interface import Result
broker = Broker(settings((query_class(), query_class(need=0.6, floor=0.6))))
for turn in range(40):
    _, parts, _ = broker.query([turn % 3, (turn + 1) % 3, turn % 2], kind=turn % 2)
    for part in parts:
        if any(send.part == part for send in broker.sends):
            broker.end(part, (Result.OK, Result.ERROR, Result.OK)[turn % 3])
    broker.advance(300_000_000)
print(broker.actions)
"""


def test_deploy_file_lists_every_decision_module() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert sorted(ROOT / name for name in deploy["policy"]) == POLICY


def test_decision_modules_and_their_functions_stay_small() -> None:
    for path in POLICY:
        text = path.read_text()
        lines = text.splitlines()
        assert 0 < len(lines) <= MAX_MODULE_LINES, path
        assert max(len(line) for line in lines) <= MAX_LINE_LENGTH, path
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.FunctionDef):
                length = (node.end_lineno or 0) - node.lineno + 1
                assert length <= MAX_FUNCTION_LINES, f"{path}: {node.name}"


def test_module_imports_only_its_interface_and_plain_library() -> None:
    library = {"math", "random", "collections", "collections.abc", "heapq", "itertools"}
    own = {f"quincepath.policy.{path.stem}" for path in POLICY}
    seen: set[str] = set()
    for path in POLICY:
        for found in ast.walk(ast.parse(path.read_text())):
            names = [found.module or ""] if isinstance(found, ast.ImportFrom) else []
            names += [alias.name for alias in found.names] if isinstance(found, ast.Import) else []
            for name in names:
                assert name in library | own | {"quincepath.interface"}, path
                seen.add(name)
    assert library <= seen  # the allowed list names no module that is not used


def test_module_names_its_interface_at_the_top() -> None:
    init = ROOT / "quincepath" / "policy" / "__init__.py"
    assert "quincepath/interface.py" in init.read_text().splitlines()[0]


def test_same_actions_under_different_hash_seeds() -> None:
    outputs = []
    for seed in ("1", "2"):
        env = {**os.environ, "PYTHONHASHSEED": seed}
        run = subprocess.run(
            [sys.executable, "-c", SCRIPT], cwd=ROOT, env=env, capture_output=True, text=True, check=True
        )
        outputs.append(run.stdout)
    assert "Send(" in outputs[0]
    assert outputs[0] == outputs[1]
