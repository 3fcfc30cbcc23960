"""Check of the page that sets promises against faults."""

import pathlib
import re

from testtools import TestCase

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / "docs" / "failures.md"
PROMISES = 10
FAULTS = 9


def _rows() -> list[list[str]]:
    text = PAGE.read_text(encoding="utf-8")
    lines = text.partition("## Trials on broken mechanisms")[0].splitlines()
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in lines
        if line.startswith("| ") and not line.startswith(("| promise ", "| faults "))
    ]


class FailuresPageTest(TestCase):
    def test_each_cell_has_a_test_a_reason_or_says_that_proof_is_missing(self) -> None:
        """Guard against an empty cell and a fault or promise without a row."""
        rows = _rows()
        self.assertEqual(PROMISES * FAULTS + FAULTS * (FAULTS - 1) // 2, len(rows))
        for row in rows:
            self.assertIn(len(row), (3, PROMISES + 1), row)
            for cell in row[1:]:
                self.assertRegex(cell, r"^(not proved|cannot occur \([a-d]\)|`.+`)$", row)

    def test_each_named_test_exists(self) -> None:
        """Guard against a cell that names a test which was renamed or removed."""
        text = PAGE.read_text(encoding="utf-8").split("## Each fault")[1]
        for name in set(re.findall(r"`([^`]+)`", text)):
            module, _, test = name.partition("::")
            if not module.endswith(".py"):
                path = ROOT / "tests" / "scenarios" / f"{module}.scenario"
                self.assertTrue(path.exists(), name)
                continue
            folder = ROOT / "tests" / ("" if module.startswith("slow/") else "cover")
            source = (folder / module).read_text(encoding="utf-8")
            self.assertIn(f"def {test}(" if test else "Machine", source, name)
