"""Tests that the operators' pages cover every code, field and command."""

import pathlib
import re
import unittest

from mulberrywharf import errors, settings
from mulberrywharf.programs import _ctl_arguments, _ctl_result
from mulberrywharf.rules import document

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = ROOT / "docs" / "operators"
SOURCE = ROOT / "src" / "mulberrywharf"
METRIC = r"mulberry_[a-z_]+"


def _page(name: str) -> str:
    return (PAGES / name).read_text(encoding="utf-8")


def _metrics() -> set[str]:
    """Returns the names of all metrics in the code."""
    return {
        name
        for path in SOURCE.rglob("*.py")
        for name in re.findall(rf'"({METRIC})"', path.read_text())
    }


def _links(page: pathlib.Path) -> list[str]:
    """Returns the files that a page links to, relative to the page."""
    found = re.findall(r"\]\(([^)#]+)", page.read_text(encoding="utf-8"))
    return [link for link in found if "://" not in link]


def _fields(part: type) -> list[str]:
    return [key for key in part.__annotations__ if not key.startswith("_")]


class PagesTest(unittest.TestCase):
    def test_every_error_code_has_a_row(self):
        codes = {
            kind.code
            for kind in vars(errors).values()
            if isinstance(kind, type) and issubclass(kind, errors.MulberryError)
        }
        rows = re.findall(r"^\| `([a-z-]+)` \|", _page("errors.md"), re.M)
        self.assertEqual(sorted(rows), sorted(codes))

    def test_every_setting_is_described(self):
        page = _page("settings.md")
        parts = {
            "callers": settings.CallersSettings,
            "operators": settings.OperatorsSettings,
            "nodes": settings.NodesSettings,
            "platform": settings.PlatformSettings,
            "engines": settings.EnginesSettings,
            "controller": settings.ControllerSettings,
        }
        for name, part in parts.items():
            for field in _fields(part):
                with self.subTest(field=f"{name}.{field}"):
                    self.assertIn(f"`{name}.{field}`", page)
        for field in set(_fields(settings.Settings)) - set(parts):
            with self.subTest(field=field):
                self.assertIn(f"`{field}`", page)

    def test_every_field_of_the_rules_is_described(self):
        page = _page("rules.md")
        parts = (
            document.Conditions,
            document.Actions,
            document.Customer,
            document.Service,
            document.Model,
            document.Shed,
        )
        for part in parts:
            for field in _fields(part):
                with self.subTest(field=field):
                    self.assertIn(f"`{field}`", page)

    def test_every_command_and_exit_code_is_described(self):
        page = _page("mulberryctl.md")
        usage = _ctl_arguments.build_parser().format_help()
        commands = re.findall(r"^    ([a-z]+)  ", usage, re.M)
        self.assertEqual(len(commands), 8)
        for command in commands:
            with self.subTest(command=command):
                self.assertRegex(page, rf"\| `{command}[ `]")
        for code in _ctl_result.ExitCode:
            with self.subTest(code=code):
                self.assertIn(f"| {int(code)} |", page)
                self.assertRegex(usage, rf"(?m)^  {int(code)}  ")

    def test_every_metric_is_described_and_exists(self):
        metrics = _metrics()
        named = {
            name
            for page in PAGES.glob("*.md")
            for name in re.findall(METRIC, page.read_text(encoding="utf-8"))
        }
        self.assertEqual(sorted(named), sorted(metrics))

    def test_every_alarm_links_to_a_page_about_its_metric(self):
        """A metric is renamed, or its row moves to another page.

        Guards against an alarm whose linked page does not mention its metric,
        so that an operator finds no help there.
        """
        rows = re.findall(r"^\| (`mulberry_.*)$", _page("index.md"), re.M)
        self.assertGreater(len(rows), 15)
        for row in rows:
            link = re.search(r"\]\(([a-z_]+\.md)\)", row)
            self.assertIsNotNone(link, row)
            if link[1] == "errors.md":
                # This page lists error codes, which are the metric's labels.
                codes = re.findall(r"`([a-z]+(?:-[a-z]+)*)`", row)
                wanted = [f"| `{code}` |" for code in codes]
            else:
                wanted = re.findall(METRIC, row)
            self.assertTrue(wanted, row)
            for text in wanted:
                with self.subTest(text=text, page=link[1]):
                    self.assertIn(text, _page(link[1]))

    def test_the_readme_lists_every_package(self):
        readme = (ROOT / "README.md").read_text(encoding="utf-8")
        code = readme.partition("## The code")[2]
        listed = re.findall(r"^\| `([a-z_]+)` \|", code, re.M)
        packages = [path.parent.name for path in SOURCE.glob("*/__init__.py")]
        self.assertEqual(sorted(listed), sorted(packages))

    def test_every_page_is_listed_and_every_link_is_valid(self):
        names = {page.name for page in PAGES.glob("*.md")} - {"index.md"}
        self.assertLessEqual(names, set(_links(PAGES / "index.md")))
        for page in (*PAGES.glob("*.md"), ROOT / "README.md"):
            for link in _links(page):
                with self.subTest(page=page.name, link=link):
                    self.assertTrue((page.parent / link).exists())


if __name__ == "__main__":
    unittest.main()
