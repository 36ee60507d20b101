"""Guards against problem types that differ from their documentation."""

import pathlib

from wigeonrouter import administration
from wigeonrouter import core

_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "http.md"


def _rows(title):
    """Return the rows of the table with the given header."""
    text = _PAGE.read_text(encoding="utf-8")
    table = text.partition(f"\n{title}\n")[2].partition("\n\n")[0]
    return set(table.splitlines()[1:])


def test_the_page_lists_the_problem_types_of_callers():
    assert _rows("| name | status | outcome | title |") == {
        f"| `{p.name}` | {p.status} | {p.outcome.value} | {p.title} |"
        for p in vars(core.problems).values()
        if isinstance(p, core.ProblemType)
    }


def test_the_page_lists_the_problem_types_of_operators():
    assert _rows("| name | status | title |") == {
        f"| `{p.name}` | {p.status} | {p.title} |"
        for p in administration.problems.ALL
    }


def test_a_problem_name_has_one_status():
    statuses = {}
    for problem in (
        *administration.problems.ALL,
        *vars(core.problems).values(),
    ):
        if hasattr(problem, "status"):
            known = statuses.setdefault(problem.name, problem.status)
            assert known == problem.status, problem.name
