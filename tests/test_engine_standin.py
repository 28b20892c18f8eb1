"""What other tests rely on in the stand-in engine and backend server."""

import json
import time
import unittest
from typing import Any

import gevent
from geventhttpclient import HTTPClient

from mulberrywharf.policy import prefix_index
from standins import engine_cache, engine_tokens
from tests import processes

_WAIT_S = 30
_PROMPT = "tag this note"


class Answer:
    """One answer as it came: status, events, whether its end was proper."""

    def __init__(self, port: int, path: str, body: Any, request_id: str):
        client = HTTPClient(
            "127.0.0.1", port, network_timeout=_WAIT_S, connection_timeout=5
        )
        content = b""
        self.is_broken = False
        try:
            response = client.post(
                path, json.dumps(body), {"x-request-id": request_id}
            )
            self.status = response.status_code
            self.request_id = response.get("x-request-id")
            if response.get("content-length") is not None:
                content = bytes(response.read())
            while chunk := response.readline(b"\n\n"):
                content += chunk
        except Exception:
            # The client names a broken answer in several ways.
            self.is_broken = True
        finally:
            client.close()
        self.content = content
        parts = [p for p in content.decode().split("\n\n") if p]
        self.is_done = bool(parts) and parts[-1] == "data: [DONE]"
        self.events = [
            json.loads(p[6:]) for p in parts if p.startswith("data: {")
        ]

    def json(self) -> Any:
        return json.loads(self.content)

    def text(self) -> str:
        return "".join(e["choices"][0]["text"] for e in self.events)


class EngineCase(unittest.TestCase):
    def start(self, *arguments: str) -> int:
        engine = processes.Process("standins.engine", *arguments)
        self.addCleanup(engine.close)
        return int(engine.ready["port"])

    def get(self, port: int, path: str) -> Any:
        client = HTTPClient("127.0.0.1", port)
        self.addCleanup(client.close)
        return json.loads(client.get(path).read())

    def post(self, port: int, path: str, **body: Any) -> Answer:
        return Answer(port, path, body, "")

    def complete(
        self, port: int, request_id: str = "r1", **changes: Any
    ) -> Answer:
        body = {
            "model": "tagger",
            "prompt": _PROMPT,
            "max_tokens": 8,
            "stream": True,
        }
        body.update(changes)
        return Answer(port, "/v1/completions", body, request_id)

    def wait_for(self, condition: Any) -> None:
        with gevent.Timeout(_WAIT_S):
            while not condition():
                gevent.sleep(0.02)

    def wait_running(self, port: int, count: int) -> None:
        self.wait_for(lambda: self.get(port, "/load")["running_count"] == count)

    def order(self, port: int, order_id: str, action: str, **more: Any) -> Any:
        fields = {"order_id": order_id, "fencing_number": 5, "action": action}
        fields.update(more)
        return self.post(port, "/orders", **fields)


class AnswerTest(EngineCase):
    def test_streams_are_whole_and_resume_without_gap(self) -> None:
        port = self.start()
        whole = engine_tokens.answer_text("tagger", _PROMPT, 8)
        answer = self.complete(port)
        self.assertEqual(answer.text(), whole)
        self.assertTrue(answer.is_done)
        last = answer.events[-1]
        self.assertEqual(last["choices"][0]["finish_reason"], "length")
        self.assertEqual(
            last["usage"], {"prompt_tokens": 3, "completion_tokens": 8}
        )
        delivered = "".join(
            engine_tokens.token_text("tagger", _PROMPT, i) for i in range(5)
        )
        resumed = self.complete(
            port,
            mulberry={"resume_token_count": 5, "resume_text": delivered},
        )
        self.assertEqual([e["token_index"] for e in resumed.events], [5, 6, 7])
        self.assertEqual(delivered + resumed.text(), whole)

    def test_plain_and_chat_answers_carry_the_request_id(self) -> None:
        port = self.start()
        plain = self.complete(port, "r7", stream=False).json()
        self.assertEqual(plain["id"], "r7")
        self.assertEqual(
            plain["choices"][0]["text"],
            engine_tokens.answer_text("tagger", _PROMPT, 8),
        )
        messages = [{"role": "user", "content": "hello"}]
        chat = Answer(
            port,
            "/v1/chat/completions",
            {"model": "tagger", "messages": messages, "max_tokens": 3},
            "r8",
        )
        self.assertEqual(chat.request_id, "r8")
        self.assertEqual(
            chat.json()["choices"][0]["message"]["content"],
            engine_tokens.answer_text("tagger", "user: hello\n", 3),
        )

    def test_full_queue_and_unloaded_model_refuse_without_a_run(self) -> None:
        port = self.start("--batch-limit", "1", "--queue-limit", "1")
        held = [
            gevent.spawn(self.complete, port, f"h{i}", max_tokens=10**6)
            for i in range(2)
        ]
        self.wait_for(lambda: self.get(port, "/load")["waiting_count"] == 1)
        refused = self.complete(port, "refused")
        unloaded = self.complete(port, "unloaded", model="other")
        gevent.killall(held)
        self.assertEqual(refused.json(), {"type": "queue-full"})
        self.assertEqual(unloaded.json(), {"type": "not-serving"})
        runs = self.get(port, "/standin/log")["runs"]
        ids = {run["request_id"] for run in runs}
        self.assertTrue(ids.isdisjoint({"refused", "unloaded"}))

    def test_malformed_request_is_refused_and_harms_no_other(self) -> None:
        port = self.start()
        cases: tuple[dict[str, Any], ...] = (
            {"max_tokens": 0},
            {"prompt": None},
            {"mulberry": {"priority": "high"}},
            {"mulberry": {"resume_token_count": "two"}},
            {"mulberry": {"resume_token_count": 1, "resume_text": "x"}},
        )
        for changes in cases:
            with self.subTest(changes=changes):
                self.assertEqual(self.complete(port, **changes).status, 400)
        self.assertTrue(self.complete(port).is_done)

    def test_more_urgent_request_overtakes_the_queue(self) -> None:
        port = self.start("--batch-limit", "1")
        first = gevent.spawn(self.complete, port, "first", max_tokens=10**6)
        self.wait_running(port, 1)
        later = []
        for count, (name, priority) in enumerate((("low", 9), ("high", 0)), 1):
            later.append(
                gevent.spawn(
                    self.complete, port, name, mulberry={"priority": priority}
                )
            )
            self.wait_for(
                lambda n=count: self.get(port, "/load")["waiting_count"] == n
            )
        self.post(port, "/v1/cancel", request_id="first")
        callers = [first, *later]
        ended = gevent.joinall(callers, timeout=_WAIT_S)
        self.assertEqual(len(ended), len(callers))
        runs = self.get(port, "/standin/log")["runs"]
        self.assertEqual(
            [run["request_id"] for run in runs], ["first", "high", "low"]
        )
        self.assertTrue(runs[0]["cancelled"])

    def test_closed_connection_cancels_the_run(self) -> None:
        port = self.start()
        for silent in (False, True):
            with self.subTest(silent=silent):
                if silent:
                    self.post(port, "/standin/faults", silent_after_tokens=2)
                caller = gevent.spawn(self.complete, port, max_tokens=10**6)
                self.wait_running(port, 1)
                caller.kill()
                self.wait_running(port, 0)
                run = self.get(port, "/standin/log")["runs"][-1]
                self.assertTrue(run["cancelled"])
                self.assertFalse(run["finished"])


class CacheTest(EngineCase):
    def test_cached_prefix_skips_prefill_and_memory_is_bounded(self) -> None:
        port = self.start("--cache-blocks", "2", "--event-gap-share", "0")
        words = " ".join(f"w{i}" for i in range(130))
        for _ in range(2):
            self.complete(port, prompt=words)
        # 130 words, then the 2 that no whole block covers.
        self.assertEqual(self.get(port, "/load")["prompt_tokens_total"], 132)
        self.complete(port, prompt="x " * 64)
        events = self.get(port, "/cache_events?after=0")
        self.assertEqual(events["last_sequence"], 4)
        hashes = prefix_index.prompt_block_hashes(words)
        self.assertEqual(
            [(e["kind"], e["block_hash"]) for e in events["events"][:2]],
            [("stored", hashes[0]), ("stored", hashes[1])],
        )
        self.assertEqual(events["events"][3]["block_hash"], hashes[0])
        self.assertEqual(events["events"][3]["kind"], "evicted")

    def test_events_have_gaps_and_come_late(self) -> None:
        lossy = engine_cache.EventFeed(0.0, 0.5, "seed")
        late = engine_cache.EventFeed(60.0, 0.0, "seed")
        for number in range(200):
            lossy.publish("stored", str(number))
            late.publish("stored", str(number))
        seen = lossy.after(0)
        self.assertEqual(seen["last_sequence"], 200)
        self.assertTrue(50 < len(seen["events"]) < 150)
        self.assertEqual(late.after(0), {"events": [], "last_sequence": 0})

    def test_kv_moves_between_engines_and_a_lost_handle_prefills(self) -> None:
        first = self.start("--engine-id", "e1", "--role", "prefill")
        second = self.start("--engine-id", "e2", "--role", "decode")
        prompt = " ".join(f"w{i}" for i in range(100))
        export = self.complete(
            first, prompt=prompt, mulberry={"prefill_only": True}
        ).json()
        self.assertEqual(export["kv_bytes"], 6400)
        cases = ((export["kv_handle"], 0), ("unknown", 36))
        for handle, prefilled in cases:
            with self.subTest(handle=handle):
                source = {"ip": "127.0.0.1", "port": first, "handle": handle}
                answer = self.complete(
                    second, prompt=prompt, mulberry={"kv_source": source}
                )
                self.assertTrue(answer.is_done)
                load = self.get(second, "/load")
                # The import left one whole block cached here.
                self.assertEqual(load["prompt_tokens_total"], prefilled)


class OrderTest(EngineCase):
    def test_fencing_number_holds_only_where_it_is_checked(self) -> None:
        for checks, status in (("true", 409), ("false", 202)):
            with self.subTest(checks=checks):
                port = self.start("--checks-fencing", checks)
                self.order(port, "o1", "drain")
                old = self.order(port, "o2", "resume", fencing_number=4)
                self.assertEqual(old.status, status)
                again = self.order(port, "o1", "drain")
                self.assertEqual(again.status, 202)
                log = self.get(port, "/standin/log")["orders"]
                self.assertEqual(
                    [entry["effective"] for entry in log],
                    [True, status == 202, False],
                )

    def test_role_change_cuts_what_was_not_drained_and_logs_it(self) -> None:
        port = self.start("--role-change-s", "1")
        caller = gevent.spawn(self.complete, port, "cut-me", max_tokens=10**6)
        self.wait_running(port, 1)
        self.order(port, "o1", "set-role", role="decode")
        refused = self.complete(port, "refused")
        busy = self.order(port, "o2", "drain")
        answer = caller.get(timeout=_WAIT_S)
        self.assertFalse(answer.is_done)
        self.assertTrue(answer.is_broken)
        self.assertEqual(refused.json(), {"type": "not-serving"})
        self.assertEqual(busy.json(), {"type": "busy"})
        self.wait_for(lambda: self.get(port, "/load")["order_id"] == "o1")
        self.assertEqual(self.get(port, "/load")["role"], "decode")
        entry = self.get(port, "/standin/log")["orders"][0]
        self.assertEqual(entry["cut_request_ids"], ["cut-me"])

    def test_drained_engine_finishes_its_streams(self) -> None:
        port = self.start()
        caller = gevent.spawn(self.complete, port, max_tokens=100)
        self.wait_running(port, 1)
        self.order(port, "o1", "drain")
        self.assertEqual(self.complete(port).json(), {"type": "not-serving"})
        self.assertTrue(caller.get(timeout=_WAIT_S).is_done)
        self.order(port, "o2", "resume")
        self.assertTrue(self.complete(port).is_done)

    def test_crash_in_mid_change_leaves_a_state_nobody_ordered(self) -> None:
        port = self.start("--role-change-s", "0.1")
        self.post(port, "/standin/faults", crash_mid_change=True)
        self.order(port, "o1", "set-role", role="decode")
        self.wait_for(lambda: self.get(port, "/load")["state"] == "failed")
        load = self.get(port, "/load")
        self.assertEqual((load["role"], load["order_id"]), ("prefill", ""))
        self.assertEqual(self.order(port, "o2", "resume").status, 409)
        self.order(port, "o3", "set-role", role="decode")
        self.wait_for(lambda: self.get(port, "/load")["state"] == "ready")

    def test_loaded_adapter_and_model_serve_and_an_adapter_cuts_nothing(
        self,
    ) -> None:
        port = self.start("--load-model-s", "0.3")
        caller = gevent.spawn(self.complete, port, max_tokens=200)
        self.wait_running(port, 1)
        self.order(port, "o1", "load-model", model="tagger", adapter="bibs")
        busy = self.order(port, "o2", "load-model", model="other")
        self.assertEqual(busy.json(), {"type": "busy"})
        self.wait_for(lambda: self.get(port, "/load")["order_id"] == "o1")
        self.assertTrue(caller.get(timeout=_WAIT_S).is_done)
        self.assertTrue(self.complete(port, model="tagger:bibs").is_done)
        self.order(port, "o3", "load-model", model="other", version="v2")
        self.wait_for(lambda: self.get(port, "/load")["order_id"] == "o3")
        self.assertEqual(self.get(port, "/load")["version"], "v2")
        self.assertTrue(self.complete(port, model="other").is_done)

    def test_load_report_lags(self) -> None:
        port = self.start("--load-lag-s", "3600")
        self.order(port, "o1", "drain")
        self.assertEqual(self.get(port, "/load")["state"], "ready")


class FaultTest(EngineCase):
    def test_broken_streams(self) -> None:
        port = self.start()
        cases = {
            "cut_stream_after_tokens": True,
            "short_stream": False,
        }
        for fault, is_broken in cases.items():
            with self.subTest(fault=fault):
                self.post(port, "/standin/faults", **{fault: 3})
                answer = self.complete(port)
                self.assertEqual(len(answer.events), 3)
                self.assertFalse(answer.is_done)
                self.assertEqual(answer.is_broken, is_broken)
                self.assertTrue(self.complete(port).is_done)

    def test_crossed_answers_carry_each_others_id_and_text(self) -> None:
        port = self.start()
        self.post(port, "/standin/faults", cross_answers=1)
        callers = [
            gevent.spawn(self.complete, port, name, prompt=name)
            for name in ("left", "right")
        ]
        gevent.joinall(callers, timeout=_WAIT_S)
        for caller, other in zip(callers, ("right", "left"), strict=True):
            self.assertEqual(caller.value.request_id, other)
            self.assertEqual(
                caller.value.text(),
                engine_tokens.answer_text("tagger", other, 8),
            )

    def test_slow_engine_and_late_answer(self) -> None:
        port = self.start()
        fast = self.get(port, "/load")["decode_tokens_per_s"]
        self.post(port, "/standin/faults", slow_factor=4, late_answer_s=0.3)
        slow = self.get(port, "/load")["decode_tokens_per_s"]
        self.assertEqual(fast, 4 * slow)
        for stream in (True, False):
            with self.subTest(stream=stream):
                began_s = time.monotonic()
                answer = self.complete(port, max_tokens=2, stream=stream)
                self.assertEqual(answer.status, 200)
                self.assertGreaterEqual(time.monotonic() - began_s, 0.3)

    def test_unknown_fault_is_refused(self) -> None:
        port = self.start()
        self.assertEqual(self.post(port, "/standin/faults", typo=1).status, 400)

    def test_order_whose_answer_is_lost_takes_effect(self) -> None:
        port = self.start()
        self.post(port, "/standin/faults", drop_order_answers=1)
        self.assertTrue(self.order(port, "o1", "drain").is_broken)
        self.assertEqual(self.get(port, "/load")["state"], "draining")


class BackendServerTest(unittest.TestCase):
    def setUp(self) -> None:
        server = processes.Process("standins.backend_server")
        self.addCleanup(server.close)
        self.server = server
        self.port = int(server.ready["port"])

    def log(self) -> list[dict[str, Any]]:
        client = HTTPClient("127.0.0.1", self.port)
        self.addCleanup(client.close)
        return list(json.loads(client.get("/standin/log").read())["runs"])

    def test_runs_are_counted_and_logged(self) -> None:
        first = Answer(self.port, "/payment", {"fee": 9}, "r1")
        second = Answer(self.port, "/payment", {"fee": 9}, "r1")
        self.assertEqual(first.request_id, "r1")
        self.assertEqual(first.json()["body"], '{"fee": 9}')
        self.assertEqual(second.json()["run_count"], 2)
        self.assertEqual([run["path"] for run in self.log()], ["/payment"] * 2)
        self.assertEqual(Answer(self.port, "/other", {}, "r2").status, 404)
        self.assertEqual(len(self.log()), 2)
        self.assertEqual(self.server.stop(), 0)

    def test_call_that_ran_may_lose_its_answer(self) -> None:
        Answer(self.port, "/standin/faults", {"close_before_answer": 1}, "")
        self.assertTrue(Answer(self.port, "/check-in", {}, "r1").is_broken)
        self.assertEqual([run["request_id"] for run in self.log()], ["r1"])

    def test_crossed_answers(self) -> None:
        Answer(self.port, "/standin/faults", {"cross_answers": 1}, "")
        callers = [
            gevent.spawn(Answer, self.port, "/echo", {}, name)
            for name in ("left", "right")
        ]
        gevent.joinall(callers, timeout=_WAIT_S)
        self.assertEqual(
            [c.value.request_id for c in callers], ["right", "left"]
        )


if __name__ == "__main__":
    unittest.main()
