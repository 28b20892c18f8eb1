"""The operators' pages name every code, field and command there is."""

import pathlib
import re
import unittest

from mulberrywharf import errors, settings
from mulberrywharf.programs import _ctl_arguments, _ctl_result
from mulberrywharf.rules import document

PAGES = pathlib.Path(__file__).resolve().parent.parent / "docs" / "operators"


def _page(name: str) -> str:
    return (PAGES / name).read_text(encoding="utf-8")


def _fields(part: type) -> list[str]:
    return [key for key in part.__annotations__ if not key.startswith("_")]


class PagesTest(unittest.TestCase):
    def test_every_error_code_has_its_row(self):
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


if __name__ == "__main__":
    unittest.main()
