"""One real request from a caller through a router to an engine."""

import unittest

from standins import engine_tokens
from tests import cluster


class WholePathTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = cluster.Cluster().start()
        self.addCleanup(self.cluster.close)

    def test_streamed_completion_arrives_whole(self) -> None:
        answer = self.cluster.caller().complete("tag this note", 8)
        self.assertEqual(answer.events()[-1], "[DONE]")
        self.assertEqual(
            answer.text(),
            engine_tokens.answer_text("tagger", "tag this note", 8),
        )


if __name__ == "__main__":
    unittest.main()
