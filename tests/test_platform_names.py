"""Tests that only the adapter uses the platform's wire names."""

import pathlib
import re
import unittest

from mulberrywharf.platform import headers

SOURCE = pathlib.Path(__file__).resolve().parent.parent / "src/mulberrywharf"
ADAPTER = SOURCE / "platform"
WIRE_WORDS = (
    r"x-mulberrywharf",
    r"kv-(?:key|range|watch|txn|lease|keep|handle|move|fetch|events)",
    r"op/config",
    r"servers/",
    r"traffic-split",
    r"session-affinity",
    r"target-latency",
    r"target-gap",
    r"max-attempts",
    r"store-revision",
    r"fencing-token",
    r"allow-stale",
    r"handle-ttl",
    r"min-instances",
    r"max-instances",
    r"zone-prices",
    r"spot-price",
    r"desired-count",
    r"leaves_ms",
    r"\bspot\b",
)


class PlatformNamesTest(unittest.TestCase):
    def test_no_wire_names_outside_the_adapter(self) -> None:
        """Guards against platform renames that need changes everywhere.

        Wire names spread over the package if nothing keeps them in the
        adapter.
        """
        words = re.compile("|".join(WIRE_WORDS), re.IGNORECASE)
        for path in SOURCE.rglob("*.py"):
            if path.is_relative_to(ADAPTER):
                continue
            with self.subTest(path=path.relative_to(SOURCE)):
                self.assertEqual(words.findall(path.read_text()), [])

    def test_each_header_name_is_defined_once(self) -> None:
        values = [
            value
            for name, value in vars(headers).items()
            if name.isupper() and isinstance(value, str)
        ]
        self.assertEqual(len(values), len(set(values)))

    def test_only_the_gateway_program_imports_the_adapter(self) -> None:
        importing = {
            path.relative_to(SOURCE).as_posix()
            for path in SOURCE.rglob("*.py")
            if not path.is_relative_to(ADAPTER)
            and "mulberrywharf.platform " in path.read_text()
        }
        self.assertEqual(importing, {"programs/_gateway.py"})


if __name__ == "__main__":
    unittest.main()
