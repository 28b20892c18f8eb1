"""Each error class has its own code and advice, and is used."""

import inspect
import pathlib
import re
import unittest

from mulberrywharf import errors

_PACKAGE_DIRECTORY = pathlib.Path(errors.__file__).parent


def _error_classes() -> list[type[errors.MulberryError]]:
    return [
        found
        for _, found in inspect.getmembers(errors, inspect.isclass)
        if issubclass(found, errors.MulberryError)
    ]


def _defines_advice(error_class: type[errors.MulberryError]) -> bool:
    # Errors of documents get their advice in the constructor.
    return "advice" in vars(error_class) or issubclass(
        error_class, errors.DocumentError
    )


class HierarchyTest(unittest.TestCase):
    def test_codes_are_unique(self) -> None:
        codes = [error_class.code for error_class in _error_classes()]
        self.assertEqual(len(codes), len(set(codes)))

    def test_each_class_has_advice(self) -> None:
        for error_class in _error_classes():
            with self.subTest(error_class=error_class.__name__):
                self.assertTrue(_defines_advice(error_class))

    def test_each_class_is_used(self) -> None:
        sources = "\n".join(
            path.read_text(encoding="utf-8")
            for path in _PACKAGE_DIRECTORY.rglob("*.py")
            if path.name != "errors.py"
        )
        for error_class in _error_classes():
            with self.subTest(error_class=error_class.__name__):
                used = re.search(rf"\b{error_class.__name__}\b", sources)
                is_base = bool(error_class.__subclasses__())
                self.assertTrue(used or is_base)
