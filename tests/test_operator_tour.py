"""Tests that the examples and commands in the operators' pages work."""

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
_TIMEOUT_S = 120


def _blocks(page: pathlib.Path, language: str) -> list[str]:
    text = page.read_text(encoding="utf-8")
    found = re.findall(rf"^( *)```{language}\n(.*?)^ *```", text, re.M | re.S)
    return [block for _, block in found]


class ExamplesTest(unittest.TestCase):
    def test_example_files_are_valid(self) -> None:
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

    def test_documents_in_pages_are_valid(self) -> None:
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
        # Uses a separate loopback address for each test process, because other
        # tests or a demo on this machine may use the page's fixed ports.
        number = os.getpid()
        address = f"127.100.{number // 250 % 250}.{number % 250 + 1}"
        self.directory = pathlib.Path(
            self.enterContext(
                tempfile.TemporaryDirectory(prefix="mulberry-test-")
            )
        )
        examples = self.directory / "examples"
        for path in EXAMPLES.glob("*/*.json"):
            copy = examples / path.parent.name / path.name
            copy.parent.mkdir(parents=True, exist_ok=True)
            copy.write_text(path.read_text().replace(_LOOPBACK, address))
        blocks = _blocks(PAGES / "index.md", "bash")
        self.check, self.tour = (b.replace(_LOOPBACK, address) for b in blocks)

    def run_block(self, block: str) -> str:
        """Runs a shell block of the page and returns its output."""
        programs = ROOT / ".venv" / "bin"
        paths = (str(programs), os.environ["PATH"])
        process = subprocess.Popen(
            ["bash", "-c", block],
            cwd=self.directory,
            env=os.environ
            | {"PATH": os.pathsep.join(paths), "PYTHONPATH": str(ROOT)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )
        try:
            return process.communicate(timeout=_TIMEOUT_S)[0]
        finally:
            if process.poll() is None:
                os.killpg(process.pid, signal.SIGKILL)
                process.wait()

    def test_check_commands_report_no_faults(self) -> None:
        output = self.run_block(self.check)
        self.assertEqual(output.count("no fault"), 3, output)

    def test_tour_commands_give_the_expected_output(self) -> None:
        output = self.run_block(self.tour)
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
                self.assertIn(text, output)
        self.assertEqual(output.count('"run_count": 1'), 2, output)


if __name__ == "__main__":
    unittest.main()
