"""Guards against a page of proofs that names tests which are gone."""

import pathlib
import re

_ROOT = pathlib.Path(__file__).parents[1]
_PAGE = _ROOT / "docs" / "PROOFS.md"
# Shorter words in code marks are commands and values.
_NAME = re.compile(r"`([a-z0-9_]{15,})`")
_FILE = re.compile(r"`([a-z_]+/[a-z_]+_test\.py)`")


def test_the_page_of_proofs_names_tests_and_files_that_exist():
    page = _PAGE.read_text(encoding="utf-8")
    files = sorted((_ROOT / "wigeonrouter").rglob("*_test.py"))
    tests = "\n".join(path.read_text(encoding="utf-8") for path in files)
    names = _NAME.findall(page)
    assert len(names) > 30
    assert [name for name in names if f"test_{name}" not in tests] == []
    named = {_ROOT / "wigeonrouter" / name for name in _FILE.findall(page)}
    assert named and named <= set(files)
