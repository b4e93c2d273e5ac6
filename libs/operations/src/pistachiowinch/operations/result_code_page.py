"""Generates ``docs/result-codes.md`` from ``base.codes``.

Run ``python -m pistachiowinch.operations.result_code_page docs/result-codes.md`` after a change.
"""

import sys
from pathlib import Path

from pistachiowinch.base.codes import CODES

__all__ = ["CODE_GROUPS", "render_page"]

CODE_GROUPS = (
    (1000, "Caller's mistake", "The request itself is wrong; repeating it does not help."),
    (2000, "Limits", "The request is right, but more than the customer or the service may run."),
    (3000, "Groups and outcomes", "A database group or a connection to it failed."),
    (4000, "Host state", "This host takes no new work; another host does."),
    (5000, "Configuration and store", "Answers of the operators' HTTP interface."),
    (9000, "Internal", "A fault of the product."),
)
_CODES_PER_GROUP = 1000

_HEAD = """# Result codes

This page is generated from `pistachiowinch.base.codes`; do not edit it.

A refused statement is answered with a MySQL error packet whose text starts with `PW` and the
number, for example `PW2001 RATE_EXCEEDED: ... (statement not run)`. The operators' HTTP interface
answers with the same numbers as JSON. The column *statement* says whether the statement ran:
`not run` is certain, `run` means that only the answer was lost, and `unknown` means that it has
to be determined, for a write by sending it again with the same request id.

Metrics use the name in lower case as the label `reason` of `pistachiowinch_refusals_total`.
"""


def render_page() -> str:
    """Return the whole page as Markdown."""
    lines = [_HEAD]
    for start, title, meaning in CODE_GROUPS:
        lines += [f"## {start}-{start + _CODES_PER_GROUP - 1}: {title}", "", meaning, ""]
        lines += ["| number | name | statement | MySQL error | SQLSTATE | what to do |"]
        lines += ["|---|---|---|---|---|---|"]
        lines += [
            f"| {code.number} | `{code.name}` | {code.ran.value} | {code.mysql_errno} "
            f"| {code.sqlstate} | {code.advice} |"
            for code in sorted(CODES, key=lambda code: code.number)
            if start <= code.number < start + _CODES_PER_GROUP
        ]
        lines.append("")
    return "\n".join(lines).rstrip() + "\n"


if __name__ == "__main__":
    Path(sys.argv[1]).write_text(render_page(), encoding="utf-8")
