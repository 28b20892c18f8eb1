"""What the operators' pages print runs as it is printed."""

import os
import pathlib
import re
import shutil
import signal
import subprocess
import tempfile
import unittest

import json5
from result import Ok

from mulberrywharf import gateway_settings, settings
from mulberrywharf.rules import check, parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = ROOT / "docs" / "operators"
EXAMPLES = ROOT / "examples"
_LOOPBACK = "127.0.0.1"
_LIMIT_S = 120


def _blocks(page: pathlib.Path, language: str) -> list[str]:
    text = page.read_text(encoding="utf-8")
    found = re.findall(rf"^( *)```{language}\n(.*?)^ *```", text, re.M | re.S)
    return [block for _, block in found]


class ExamplesTest(unittest.TestCase):
    def test_settings_and_rules_have_no_fault(self) -> None:
        paths = sorted(EXAMPLES.glob("*/*.json"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path=path.relative_to(ROOT)):
                text = path.read_text(encoding="utf-8")
                if path.name == "vms.json":
                    self.assertTrue(json5.loads(text)["vms"])
                elif path.name == "rules.json":
                    self.assertEqual(
                        check(parse(text, path.name).unwrap(), None), []
                    )
                elif path.name == "gateway.json":
                    self.assertIsInstance(gateway_settings.load(str(path)), Ok)
                else:
                    self.assertIsInstance(settings.load(str(path)), Ok)

    def test_documents_in_pages_have_no_fault(self) -> None:
        documents = [
            (page.name, block)
            for page in PAGES.glob("*.md")
            for block in _blocks(page, "json")
        ]
        self.assertTrue(documents)
        for name, block in documents:
            with self.subTest(page=name):
                self.assertIsInstance(parse(block, name), Ok)


@unittest.skipUnless(
    shutil.which("curl") and shutil.which("bash"), "needs curl and bash"
)
class TourTest(unittest.TestCase):
    def setUp(self) -> None:
        # An address of its own on loopback, so that the page's fixed ports
        # are free although other tests or a demo run on this machine.
        number = os.getpid()
        own = f"127.100.{number // 250 % 250}.{number % 250 + 1}"
        self.place = pathlib.Path(
            self.enterContext(
                tempfile.TemporaryDirectory(prefix="mulberry-test-")
            )
        )
        examples = self.place / "examples"
        for path in EXAMPLES.glob("*/*.json"):
            copy = examples / path.parent.name / path.name
            copy.parent.mkdir(parents=True, exist_ok=True)
            copy.write_text(path.read_text().replace(_LOOPBACK, own))
        blocks = _blocks(PAGES / "index.md", "bash")
        self.check, self.tour = (b.replace(_LOOPBACK, own) for b in blocks)

    def run_block(self, block: str) -> str:
        """Runs a block of the page; returns all that it wrote."""
        programs = ROOT / ".venv" / "bin"
        paths = (str(programs), os.environ["PATH"])
        process = subprocess.Popen(
            ["bash", "-c", block],
            cwd=self.place,
            env=os.environ
            | {"PATH": os.pathsep.join(paths), "PYTHONPATH": str(ROOT)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )
        try:
            return process.communicate(timeout=_LIMIT_S)[0]
        finally:
            if process.poll() is None:
                os.killpg(process.pid, signal.SIGKILL)
                process.wait()

    def test_the_files_of_a_zone_are_checked(self) -> None:
        wrote = self.run_block(self.check)
        self.assertEqual(wrote.count("no fault"), 3, wrote)

    def test_the_tour_goes_as_printed(self) -> None:
        wrote = self.run_block(self.tour)
        for text in (
            "1 rules, no fault, 0 warnings",
            "accepted as version 1",
            "in force on all",
            '{"ready": true}',
            '"finish_reason": "length"',
            "entry-1 controller: ready",
            "entry-1 router: ready",
            "hall-a: controller on entry-1",
            '{"draining": true}',
            "the router ended with 0",
            "the controller ended with 0",
        ):
            with self.subTest(text=text):
                self.assertIn(text, wrote)
        self.assertEqual(wrote.count('"run_count": 1'), 2, wrote)


if __name__ == "__main__":
    unittest.main()
