"""Imports point inwards only: the contracts in pyproject.toml hold, and each finds what it is there for.

What import-linter cannot say stands here as well: which names of ``random`` pure code uses, and that the
adapter runs without a third party.
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
PLANTED = [  # contract, file, the bad line
    ("pure", "asks/intake.py", "import time"),
    ("pure", "fleet/load_reports/sums.py", "from os import path"),  # a room and a file that nobody has listed
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
    ("platform", "orders.py", "import quincepath.config.values"),  # by a chain
    ("adapter", "drill.py", "import msgspec"),
    ("adapter", "settings.py", "from quincepath.shards import shardmap"),
]


def lint(where: Path, *words: str) -> subprocess.CompletedProcess[str]:
    """The contracts over the package that lies in ``where``."""
    script = "from importlinter.cli import lint_imports_command as run; run()"
    return subprocess.run(
        [sys.executable, "-c", script, "--no-cache", *words], cwd=where, capture_output=True, text=True
    )


def name_of(path: Path, root: Path) -> str:
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(part for part in parts if part != "__init__")


def circles(package: str) -> list[list[str]]:
    """Modules that import each other over any number of others, what is only for types among it."""
    graph = grimp.build_graph(package, cache_dir=None)
    found = []
    for module in sorted(graph.modules):
        after = graph.find_downstream_modules(module) & graph.find_upstream_modules(module)
        found += [sorted({module, *after})] if after else []
    return found


def within(name: str, rooms: set[str]) -> bool:
    return any(name == room or name.startswith(room + ".") for room in rooms)


def test_no_modules_import_each_other_in_a_circle() -> None:
    assert circles("quincepath") == []


@pytest.mark.parametrize("line", ["from ringed import one", "if TYPE_CHECKING:\n    from ringed import one"])
def test_a_circle_is_found_also_where_it_is_for_types_only(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, line: str
) -> None:
    modules = {
        "one": "import ringed.two",
        "two": "import ringed.three",
        "three": f"from typing import TYPE_CHECKING\n{line}",
        "apart": "import ringed.one",
    }
    (tmp_path / "ringed").mkdir()
    for name, text in {"__init__": "", **modules}.items():
        (tmp_path / "ringed" / f"{name}.py").write_text(text + "\n")
    monkeypatch.syspath_prepend(tmp_path)
    ring = ["ringed.one", "ringed.three", "ringed.two"]
    assert circles("ringed") == [ring, ring, ring]


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
    for room in [*path.relative_to(tmp_path).parents][:-1]:
        (tmp_path / room).mkdir(exist_ok=True)
        (tmp_path / room / "__init__.py").touch()
    with path.open("a") as out:
        out.write(f"\n{line}\n")
    run = lint(tmp_path, "--contract", contract)
    assert run.returncode == 1, run.stdout + run.stderr
    shown = run.stdout.partition("Broken contracts")[2]
    assert CONTRACTS[contract]["name"] in " ".join(shown.split())
    assert name_of(path, tmp_path) in shown


def test_the_edge_is_named_alike_in_the_contracts_that_name_it() -> None:
    assert EDGE | TOOLS == set(CONTRACTS["edge"]["allowed_importers"])
    exempt = {line.partition(" -> ")[0].removesuffix(".**") for line in CONTRACTS["pure"]["ignore_imports"]}
    assert exempt <= EDGE | TOOLS


def test_every_dependency_of_the_program_is_forbidden_to_the_adapter() -> None:
    names = {"google-re2": "re2", "hdrhistogram": "hdrh", "protobuf": "google", "ruamel.yaml": "ruamel",
             "opentelemetry-sdk": "opentelemetry"}  # fmt: skip
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    wanted = {line.partition(">")[0] for line in project["dependencies"]}
    modules = {names.get(name, name.replace("-", "_")) for name in wanted}
    rooms = {f"quincepath.{path.parent.name}" for path in (ROOT / "quincepath").glob("*/__init__.py")}
    own = {"quincepath.policy"}
    assert (modules | rooms) - set(CONTRACTS["adapter"]["forbidden_modules"]) <= own


def test_pure_code_uses_of_random_only_a_source_of_its_own() -> None:
    looked = 0
    for path in (ROOT / "quincepath").rglob("*.py"):
        if within(name_of(path, ROOT), EDGE | TOOLS):
            continue
        tree = ast.parse(path.read_text())
        for node in ast.walk(tree):
            if isinstance(node, ast.ImportFrom) and node.module == "random":
                assert {alias.name for alias in node.names} == {"Random"}, path
            if isinstance(node, ast.Attribute) and ast.unparse(node.value) == "random":
                assert node.attr == "Random", path
        looked += 1
    assert looked > 50


@pytest.mark.parametrize("module", ["quincepath", "quincepath.drill"])
def test_the_adapter_runs_on_the_standard_library_alone(module: str) -> None:
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
