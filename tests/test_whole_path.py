"""One real request from a caller through a router to an engine."""

import json
import unittest

from geventhttpclient import HTTPClient

from standins import engine_tokens
from tests import builders_settings, processes


class WholePathTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engine = processes.Process("standins.engine")
        self.addCleanup(self.engine.close)
        path = builders_settings.write_settings(
            builders_settings.node_settings()
        )
        address = f"127.0.0.1:{self.engine.ready['port']}"
        self.router = processes.Process(
            "mulberrywharf.programs.router",
            "--settings",
            path,
            "--engine",
            address,
        )
        self.addCleanup(self.router.close)

    def test_streamed_completion_arrives_whole(self) -> None:
        client = HTTPClient("127.0.0.1", self.router.ready["callers"])
        self.addCleanup(client.close)
        body = {
            "model": "tagger",
            "prompt": "tag this note",
            "max_tokens": 8,
            "stream": True,
        }
        response = client.post("/v1/completions", json.dumps(body))
        text = response.read().decode()
        events = [line[6:] for line in text.split("\n\n") if line]
        self.assertEqual(events[-1], "[DONE]")
        answer = "".join(
            json.loads(event)["choices"][0]["text"] for event in events[:-1]
        )
        self.assertEqual(
            answer, engine_tokens.answer_text("tagger", "tag this note", 8)
        )


if __name__ == "__main__":
    unittest.main()
