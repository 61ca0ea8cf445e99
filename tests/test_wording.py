"""Guards the terms of the code: words of the earlier house style must not come back into finished packages.

docs/glossary.md has the term for each. Texts are not searched: names that leave the process keep these words.
"""

import io
import re
import tokenize
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / "quincepath"
PACKAGES = ("asks", "fronts", "limits", "net", "observe", "platform", "store", "upstream")
WITHDRAWN = frozenset(
    "blame culprit desk door elsewhere guest guests hasty keeper keepers living reception seat seats summer "
    "summers tally told".split()
)
WORD = re.compile(r"[A-Z]?[a-z]+|[A-Z]+(?![a-z])")


def withdrawn_words(source: str) -> set[str]:
    """The withdrawn words that are part of an identifier."""
    tokens = tokenize.generate_tokens(io.StringIO(source).readline)
    names = {token.string for token in tokens if token.type == tokenize.NAME}
    return {word.lower() for name in names for word in WORD.findall(name)} & WITHDRAWN


@pytest.mark.parametrize("package", PACKAGES)
def test_no_identifier_contains_a_withdrawn_word(package: str) -> None:
    files = sorted((SOURCE / package).rglob("*.py"))
    assert files
    found = {str(path): words for path in files if (words := withdrawn_words(path.read_text()))}
    assert not found


@pytest.mark.parametrize(
    ("source", "expected"),
    [
        ("door = Door()", {"door"}),
        ("class KeeperStore: pass", {"keeper"}),
        ("SUMMERS_MOST = 3", {"summers"}),
        ("outdoor = indoors = 1  # a door\ntext = 'door'", set()),
    ],
)
def test_words_are_found_in_identifiers_only(source: str, expected: set[str]) -> None:
    assert withdrawn_words(source) == expected
