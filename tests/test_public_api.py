"""The names that other code may rely upon."""

import ast
import pathlib
import subprocess
import sys
import unittest

import mulberrywharf

_LOADED = (
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
    def test_each_name_is_there_and_typed(self) -> None:
        typed = _names_for_type_checkers()
        self.assertEqual(sorted(typed), sorted(mulberrywharf.__all__))
        for name, source in typed.items():
            with self.subTest(name=name):
                self.assertEqual(mulberrywharf._SOURCES[name], source)
                self.assertIsNotNone(getattr(mulberrywharf, name))

    def test_unknown_names_are_refused(self) -> None:
        with self.assertRaises(AttributeError):
            _ = mulberrywharf.no_such_name  # type: ignore[attr-defined]

    def test_rules_can_be_parsed_and_checked(self) -> None:
        faulty = mulberrywharf.parse_rules("{", "rules.json").unwrap_err()
        self.assertIsInstance(faulty, mulberrywharf.RulesError)
        self.assertTrue(faulty.faults)

    def test_the_package_loads_nothing_by_itself(self) -> None:
        """Locks are made before gevent has replaced them.

        Symptom: a router stops answering for as long as one greenlet holds a
        lock. Sequence: the package is imported, then the program patches.
        Cause: modules that the package imported kept the locks of threads.
        """
        ran = subprocess.run(
            [sys.executable, "-c", _LOADED],
            capture_output=True,
            check=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(ran.stdout.strip(), "[]")
