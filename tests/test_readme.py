"""The example in the README runs and prints what it says."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_readme_example_prints_the_documented_output() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(blocks) == 1
    run = subprocess.run(
        [sys.executable, "-c", blocks[0]], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert run.stdout.splitlines() == ["1 part sent", "[Answer(id=1, full=True)]"]
