"""Imports point inwards only: the contracts in pyproject.toml hold, and each detects a planted violation.

Checks that import-linter cannot express are here as well: which names of ``random`` pure code uses, and that
the adapter runs without third-party packages.
"""

import ast
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import grimp
import pytest

ROOT = Path(__file__).parent.parent
LINTER = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["importlinter"]
CONTRACTS: dict[str, dict[str, Any]] = {contract["id"]: contract for contract in LINTER["contracts"]}
TOOLS = {"quincepath.lab", "quincepath.standins", "quincepath.cli"}
EDGE = set(CONTRACTS["edge"]["protected_modules"])
PLANTED = [  # contract, file, the forbidden line
    ("pure", "asks/intake.py", "import time"),
    ("pure", "fleet/load_reports/sums.py", "from os import path"),  # package and file are in no contract
    ("edge", "broker/dispatcher.py", "from quincepath.net import loop"),
    ("edge", "limits/fair/tags.py", "from quincepath.observe.logs import *"),
    ("pure-packages", "shards/versions.py", "from quincepath.net.loop import Loop"),
    ("store", "fleet/budget.py", "from quincepath.store.consensus import ConsensusStore"),
    ("tools", "upstream/outcomes.py", "from quincepath.lab import audit"),
    ("tools", "observe/logs.py", "import quincepath.cli.main"),
    ("layers", "standins/leaf.py", "from quincepath.lab.record import Got"),
    ("layers", "lab/fleet/verdict.py", "import quincepath.cli.main"),
    ("single-thread", "cli/main.py", "import concurrent.futures"),
    ("platform", "platform/descriptors.py", "from quincepath.fleet import budget"),
    ("platform", "orders.py", "import quincepath.config.values"),  # through a chain of imports
    ("adapter", "drill.py", "import msgspec"),
    ("adapter", "settings.py", "from quincepath.shards import shardmap"),
]


def lint(where: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the contracts on the package in folder ``where``."""
    script = "from importlinter.cli import lint_imports_command as run; run()"
    return subprocess.run(
        [sys.executable, "-c", script, "--no-cache", *arguments], cwd=where, capture_output=True, text=True
    )


def module_name(path: Path, root: Path) -> str:
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(part for part in parts if part != "__init__")


def import_cycles(package: str) -> list[list[str]]:
    """Import cycles of any length, including imports that are for type checking only."""
    graph = grimp.build_graph(package, cache_dir=None)
    found = []
    for module in sorted(graph.modules):
        after = graph.find_downstream_modules(module) & graph.find_upstream_modules(module)
        found += [sorted({module, *after})] if after else []
    return found


def is_within(name: str, packages: set[str]) -> bool:
    return any(name == package or name.startswith(package + ".") for package in packages)


def test_there_are_no_import_cycles() -> None:
    assert import_cycles("quincepath") == []


@pytest.mark.parametrize("line", ["from cyclic import one", "if TYPE_CHECKING:\n    from cyclic import one"])
def test_a_cycle_of_type_only_imports_is_found(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, line: str
) -> None:
    modules = {
        "one": "import cyclic.two",
        "two": "import cyclic.three",
        "three": f"from typing import TYPE_CHECKING\n{line}",
        "apart": "import cyclic.one",
    }
    (tmp_path / "cyclic").mkdir()
    for name, text in {"__init__": "", **modules}.items():
        (tmp_path / "cyclic" / f"{name}.py").write_text(text + "\n")
    monkeypatch.syspath_prepend(tmp_path)
    cycle = ["cyclic.one", "cyclic.three", "cyclic.two"]
    assert import_cycles("cyclic") == [cycle, cycle, cycle]


def test_all_contracts_are_kept() -> None:
    run = lint(ROOT)
    assert run.returncode == 0, run.stdout + run.stderr


def test_every_contract_has_a_planted_violation() -> None:
    assert {contract for contract, _, _ in PLANTED} == set(CONTRACTS)


@pytest.mark.parametrize("contract,file,line", PLANTED, ids=[f"{c}-{f}" for c, f, _ in PLANTED])
def test_a_planted_violation_is_found_by_its_contract(
    tmp_path: Path, contract: str, file: str, line: str
) -> None:
    stale = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "quincepath", tmp_path / "quincepath", ignore=stale)
    shutil.copy(ROOT / "pyproject.toml", tmp_path)
    path = tmp_path / "quincepath" / file
    for package in [*path.relative_to(tmp_path).parents][:-1]:
        (tmp_path / package).mkdir(exist_ok=True)
        (tmp_path / package / "__init__.py").touch()
    with path.open("a") as out:
        out.write(f"\n{line}\n")
    run = lint(tmp_path, "--contract", contract)
    assert run.returncode == 1, run.stdout + run.stderr
    shown = run.stdout.partition("Broken contracts")[2]
    assert CONTRACTS[contract]["name"] in " ".join(shown.split())
    assert module_name(path, tmp_path) in shown


def test_all_contracts_list_the_same_edge_modules() -> None:
    assert EDGE | TOOLS == set(CONTRACTS["edge"]["allowed_importers"])
    exempt = {line.partition(" -> ")[0].removesuffix(".**") for line in CONTRACTS["pure"]["ignore_imports"]}
    assert exempt <= EDGE | TOOLS


def test_every_dependency_of_the_program_is_forbidden_to_the_adapter() -> None:
    names = {"google-re2": "re2", "hdrhistogram": "hdrh", "protobuf": "google", "ruamel.yaml": "ruamel",
             "opentelemetry-sdk": "opentelemetry"}  # fmt: skip
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    wanted = {line.partition(">")[0] for line in project["dependencies"]}
    modules = {names.get(name, name.replace("-", "_")) for name in wanted}
    packages = {f"quincepath.{path.parent.name}" for path in (ROOT / "quincepath").glob("*/__init__.py")}
    own = {"quincepath.policy"}
    assert (modules | packages) - set(CONTRACTS["adapter"]["forbidden_modules"]) <= own


def test_pure_code_uses_only_random_instances() -> None:
    checked = 0
    for path in (ROOT / "quincepath").rglob("*.py"):
        if is_within(module_name(path, ROOT), EDGE | TOOLS):
            continue
        tree = ast.parse(path.read_text())
        for node in ast.walk(tree):
            if isinstance(node, ast.ImportFrom) and node.module == "random":
                assert {alias.name for alias in node.names} == {"Random"}, path
            if isinstance(node, ast.Attribute) and ast.unparse(node.value) == "random":
                assert node.attr == "Random", path
        checked += 1
    assert checked > 50


@pytest.mark.parametrize("module", ["quincepath", "quincepath.drill"])
def test_the_adapter_needs_only_the_standard_library(module: str) -> None:
    script = (
        f"import sys, {module}\n"
        "own = {'quincepath'}\n"
        "foreign = {m.partition('.')[0] for m in sys.modules} - set(sys.stdlib_module_names) - own\n"
        "print(sorted(m for m in foreign if not m.startswith('_')))"
    )
    run = subprocess.run(
        [sys.executable, "-I", "-S", "-c", f"import sys; sys.path.insert(0, {str(ROOT)!r})\n{script}"],
        capture_output=True, text=True, check=True,
    )  # fmt: skip
    assert run.stdout.strip() == "[]"
