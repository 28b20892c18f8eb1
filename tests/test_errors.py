"""The hierarchy of failures: a code and an advice for each."""

import inspect
import pathlib
import re
import unittest

from mulberrywharf import errors

_SOURCES = pathlib.Path(errors.__file__).parent


def _classes() -> list[type[errors.MulberryError]]:
    return [
        found
        for _, found in inspect.getmembers(errors, inspect.isclass)
        if issubclass(found, errors.MulberryError)
    ]


def _own_advice(failure: type[errors.MulberryError]) -> bool:
    # A document's advice is given when it is made, from its faults.
    return "advice" in vars(failure) or issubclass(
        failure, errors.DocumentError
    )


class HierarchyTest(unittest.TestCase):
    def test_each_code_is_of_one_class(self) -> None:
        codes = [failure.code for failure in _classes()]
        self.assertEqual(len(codes), len(set(codes)))

    def test_each_class_says_what_to_do_next(self) -> None:
        for failure in _classes():
            with self.subTest(failure=failure.__name__):
                self.assertTrue(_own_advice(failure))

    def test_each_class_is_used(self) -> None:
        sources = "\n".join(
            path.read_text(encoding="utf-8")
            for path in _SOURCES.rglob("*.py")
            if path.name != "errors.py"
        )
        for failure in _classes():
            with self.subTest(failure=failure.__name__):
                used = re.search(rf"\b{failure.__name__}\b", sources)
                is_base = bool(failure.__subclasses__())
                self.assertTrue(used or is_base)
