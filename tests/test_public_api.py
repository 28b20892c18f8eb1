"""The names of the public API."""

import ast
import pathlib
import subprocess
import sys
import unittest

import mulberrywharf

_PRINT_IMPORTED_MODULES = (
    "import sys, mulberrywharf;"
    "print([n for n in sys.modules if n.startswith(('mulberrywharf.', 'gevent',"
    " 'loguru', 'pydantic'))])"
)


def _names_for_type_checkers() -> dict[str, tuple[str, str]]:
    source = pathlib.Path(mulberrywharf.__file__).read_text()
    return {
        alias.asname or alias.name: (node.module or "", alias.name)
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.ImportFrom)
        and (node.module or "").startswith("mulberrywharf.")
        for alias in node.names
    }


class PublicNamesTest(unittest.TestCase):
    def test_each_public_name_exists_and_is_typed(self) -> None:
        typed = _names_for_type_checkers()
        self.assertEqual(sorted(typed), sorted(mulberrywharf.__all__))
        for name, source in typed.items():
            with self.subTest(name=name):
                self.assertEqual(mulberrywharf._SOURCES[name], source)
                self.assertIsNotNone(getattr(mulberrywharf, name))

    def test_unknown_name_raises_attribute_error(self) -> None:
        with self.assertRaises(AttributeError):
            _ = mulberrywharf.no_such_name  # type: ignore[attr-defined]

    def test_rules_can_be_parsed_and_checked(self) -> None:
        faulty = mulberrywharf.parse_rules("{", "rules.json").unwrap_err()
        self.assertIsInstance(faulty, mulberrywharf.RulesError)
        self.assertTrue(faulty.faults)

    def test_package_imports_no_other_module(self) -> None:
        """Locks must not be created before gevent has patched them.

        The package is imported before the program patches. Modules that it
        imported would keep thread locks, and a router would stop answering
        while one greenlet holds such a lock.
        """
        ran = subprocess.run(
            [sys.executable, "-c", _PRINT_IMPORTED_MODULES],
            capture_output=True,
            check=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(ran.stdout.strip(), "[]")
