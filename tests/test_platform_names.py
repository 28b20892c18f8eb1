"""The platform's names occur in the adapter and nowhere else."""

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
)


class PlatformNamesTest(unittest.TestCase):
    def test_no_wire_word_outside_the_adapter(self) -> None:
        """A change of the platform's wording is sought all over the product.

        Sequence: a name of the wire is used where it is at hand. Cause:
        nothing kept the names in the adapter.
        """
        words = re.compile("|".join(WIRE_WORDS), re.IGNORECASE)
        for path in SOURCE.rglob("*.py"):
            if path.is_relative_to(ADAPTER):
                continue
            with self.subTest(path=path.relative_to(SOURCE)):
                self.assertEqual(words.findall(path.read_text()), [])

    def test_header_fields_are_written_once(self) -> None:
        values = [
            value
            for name, value in vars(headers).items()
            if name.isupper() and isinstance(value, str)
        ]
        self.assertEqual(len(values), len(set(values)))

    def test_only_the_assembly_imports_the_adapter(self) -> None:
        importing = {
            path.relative_to(SOURCE).as_posix()
            for path in SOURCE.rglob("*.py")
            if not path.is_relative_to(ADAPTER)
            and "mulberrywharf.platform " in path.read_text()
        }
        self.assertEqual(importing, {"programs/_gateway.py"})


if __name__ == "__main__":
    unittest.main()
