"""Formatting of the result pages: prose is wrapped, tables and headings are left unchanged."""

from __future__ import annotations

import textwrap
from collections.abc import Iterable

MAX_COLUMNS = 118


def format_page(lines: Iterable[str]) -> str:
    """Return the lines as one Markdown page; wrap each run of prose lines to at most ``MAX_COLUMNS`` columns."""
    page_lines: list[str] = []
    paragraph: list[str] = []

    def end_paragraph() -> None:
        if paragraph:
            page_lines.extend(
                textwrap.wrap(
                    " ".join(" ".join(paragraph).split()), MAX_COLUMNS, break_long_words=False, break_on_hyphens=False
                )
            )
            paragraph.clear()

    for line in "\n".join(lines).split("\n"):
        if not line or line[0] in "|#!" or line.startswith("- "):
            end_paragraph()
            if line.startswith("- "):
                paragraph.append(line)
            else:
                page_lines.append(line)
        else:
            paragraph.append(line)
    end_paragraph()
    return "\n".join(page_lines).rstrip("\n") + "\n"
