"""Guards against a page of result codes that is out of date."""

from pathlib import Path

from pistachiowinch.base.codes import CODES
from pistachiowinch.operations.result_code_page import render_page

PAGE = Path(__file__).parents[2] / "docs" / "result-codes.md"


def test_the_page_is_current():
    assert PAGE.read_text(encoding="utf-8") == render_page()


def test_every_code_has_a_row():
    page = render_page()
    assert [code.name for code in CODES if f"| {code.number} | `{code.name}` |" not in page] == []
