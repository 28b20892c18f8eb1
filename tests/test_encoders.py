"""Encoders give bytes for every value of their types.

An exception of the Cap'n Proto library in a greenlet ends the process, and any
other costs all records of the datagram.
"""

import typing
import unittest
from collections.abc import Callable
from typing import Any

import hypothesis
from hypothesis import strategies as st
from result import Ok, Result

from mulberrywharf import errors, fleet, metrics, wire_text
from mulberrywharf.crashes import crash_codec
from mulberrywharf.nodes import codec, messages
from mulberrywharf.peers import (
    customer_demand_codec,
    ejection_codec,
    freshness_codec,
    handover_codec,
    limit_codec,
    notice_codec,
    path_codec,
    queue_codec,
    repeat_codec,
    stream_codec,
    usage_codec,
)
from mulberrywharf.policy import (
    customer_meter,
    ejected_servers,
    helpers,
    outcome_counts,
    stream_version,
)

_EDGES = (-1, 2**8, 2**16, 2**32, 2**64, 2**80)

st.register_type_strategy(
    int, st.one_of(st.integers(0, 3), st.sampled_from(_EDGES), st.integers())
)
st.register_type_strategy(
    str, st.text(st.characters(codec=None, exclude_categories=()), max_size=4)
)

_DIGESTS = st.binary(min_size=16, max_size=16)

_Decode = Callable[[bytes], Result[Any, errors.BadFrameError]]
_RoundTrip = tuple[st.SearchStrategy[Any], Callable[[Any], bytes], _Decode]

ROUND_TRIPS: dict[str, _RoundTrip] = {
    "customer demand": (
        st.from_type(customer_demand_codec.Report)
        | st.from_type(customer_demand_codec.Reply),
        customer_demand_codec.encode,
        # It refuses reports whose sums are impossible.
        lambda body: Ok(customer_demand_codec.decode(body)),
    ),
    "outcome report": (
        st.from_type(ejection_codec.OutcomeReport),
        ejection_codec.encode_report,
        # It refuses reports without any entry.
        lambda body: Ok(ejection_codec.decode_report(body)),
    ),
    "ejection question": (
        st.from_type(ejection_codec.Question),
        ejection_codec.encode_question,
        ejection_codec.decode_ejection,
    ),
    "ejection decision": (
        st.from_type(ejected_servers.Decision),
        ejection_codec.encode_decision,
        ejection_codec.decode_ejection,
    ),
    "freshness": (
        st.from_type(freshness_codec.Question)
        | st.from_type(freshness_codec.Reply),
        freshness_codec.encode,
        freshness_codec.decode,
    ),
    "handover": (
        st.from_type(handover_codec.HandedRequest),
        handover_codec.encode,
        handover_codec.decode,
    ),
    "limit": (
        st.from_type(limit_codec.LimitMessage),
        lambda message: limit_codec.encode(message, 0.0),
        # It refuses impossible limits; a message has no other record.
        lambda body: Ok(limit_codec.decode(body, 0.0)),
    ),
    "notice": (
        st.from_type(notice_codec.Notice),
        notice_codec.encode,
        notice_codec.decode,
    ),
    "path question": (
        st.from_type(path_codec.PathQuestion),
        path_codec.encode_question,
        path_codec.decode,
    ),
    "path reply": (
        st.from_type(path_codec.PathReply),
        path_codec.encode_reply,
        path_codec.decode,
    ),
    "queue": (
        st.from_type(queue_codec.QueueMessage),
        queue_codec.encode,
        queue_codec.decode,
    ),
    "repeat claim": (
        st.from_type(repeat_codec.RepeatClaim),
        repeat_codec.encode_claim,
        repeat_codec.decode,
    ),
    "repeat reply": (
        st.from_type(repeat_codec.RepeatReply),
        repeat_codec.encode_reply,
        repeat_codec.decode,
    ),
    "stream notes": (
        st.lists(st.from_type(stream_codec.StreamNote), min_size=1),
        stream_codec.encode_notes,
        stream_codec.decode,
    ),
    "stream question": (
        st.from_type(stream_codec.StreamQuestion),
        stream_codec.encode_question,
        stream_codec.decode,
    ),
    "stream reply": (
        st.from_type(stream_codec.StreamReply),
        stream_codec.encode_reply,
        stream_codec.decode,
    ),
    "usage announcement": (
        st.from_type(usage_codec.Announcement),
        usage_codec.encode_announcement,
        usage_codec.decode,
    ),
    "usage counts": (
        st.from_type(usage_codec.Counts),
        usage_codec.encode_counts,
        usage_codec.decode,
    ),
    "crash report": (
        st.from_type(crash_codec.CrashReport),
        crash_codec.encode,
        crash_codec.decode,
    ),
    **{
        f"node {message_type.__name__}": (
            st.builds(
                messages.Envelope,
                message=st.builds(
                    message_type,
                    **{
                        name: _DIGESTS
                        for name in ("claim_id", "body_digest", "answer_digest")
                        if name in message_type._fields
                    },
                ),
            ),
            codec.encode,
            # It refuses impossible rates; a controller then asks again.
            codec.decode
            if message_type is not messages.Rates
            else lambda payload: Ok(codec.decode(payload)),
        )
        for message_type in typing.get_args(messages.Message)
    },
}


class EveryValueTest(unittest.TestCase):
    def check(self, round_trip: _RoundTrip) -> None:
        values, encode, decode = round_trip

        @hypothesis.settings(
            deadline=None,
            derandomize=True,
            database=None,
            max_examples=100,
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        @hypothesis.given(value=values)
        def run(value: Any) -> None:
            decoded = decode(encode(value))
            self.assertTrue(decoded.is_ok(), decoded)

        run()

    def test_every_value_is_encoded(self) -> None:
        """Guards against an identifier, text or rate that ends a process."""
        for name, round_trip in ROUND_TRIPS.items():
            with self.subTest(name):
                self.check(round_trip)


class OneRecordTest(unittest.TestCase):
    """A record that can't be sent as it is costs no other one."""

    def left_out_count(self, kind: str) -> float:
        """Returns how many records of a kind were counted as left out."""
        label = f'mulberry_records_left_out_total{{kind="{kind}"}} '
        lines = metrics.render_text()[0].decode().splitlines()
        found = [line for line in lines if line.startswith(label)]
        return float(found[0].removeprefix(label)) if found else 0.0

    def test_helper_without_an_ipv4_address_costs_no_other_helper(self) -> None:
        sound = fleet.Address("10.0.0.1", 80)
        odd = fleet.Address("fe80::1", 80)
        reply = path_codec.PathReply(1, helpers.Report(False, 0, (odd, sound)))
        before_count = self.left_out_count("helper")
        decoded = path_codec.decode(path_codec.encode_reply(reply)).unwrap()
        assert isinstance(decoded, path_codec.PathReply)
        self.assertEqual(decoded.report.helpers, (sound,))
        self.assertEqual(self.left_out_count("helper"), before_count + 1)

    def test_more_failures_than_answers_cost_no_other_server(self) -> None:
        odd = outcome_counts.Outcomes(answers_count=1, failures_count=2)
        sound = outcome_counts.Outcomes(answers_count=4, failures_count=2)
        report = ejection_codec.OutcomeReport(
            False,
            tuple(
                ejection_codec.ServerCounts(
                    key,
                    outcome_counts.Windows(
                        outcome_counts.Compared(one, one),
                        outcome_counts.Compared(one, one),
                    ),
                )
                for key, one in ((1, odd), (2, sound))
            ),
        )
        before_count = self.left_out_count("outcomes")
        decoded = ejection_codec.decode_report(
            ejection_codec.encode_report(report)
        ).unwrap()
        self.assertEqual(decoded.entries, report.entries[1:])
        self.assertEqual(self.left_out_count("outcomes"), before_count + 1)

    def test_rate_that_is_not_finite_costs_no_other_customer(self) -> None:
        customers = tuple(
            customer_meter.CustomerDemand(key, demand)
            for key, demand in enumerate((float("nan"), 1e300, 2.0))
        )
        report = customer_demand_codec.Report(
            1, 2, customer_meter.DemandReport(customers, 0.0, 0, 0.0, 0.0)
        )
        before_count = self.left_out_count("demand")
        decoded = customer_demand_codec.decode(
            customer_demand_codec.encode(report)
        ).unwrap()
        self.assertEqual(self.left_out_count("demand"), before_count + 2)
        assert isinstance(decoded, customer_demand_codec.Report)
        self.assertEqual(decoded.demand.customers, customers[2:])

    def test_too_many_recent_versions_are_not_told_as_all(self) -> None:
        count = stream_version.VERSIONS_LIMIT_COUNT + 1
        reply = stream_codec.StreamReply(1, 2, None, tuple(range(count)))
        decoded = stream_codec.decode(stream_codec.encode_reply(reply))
        self.assertEqual(decoded.unwrap(), reply._replace(recent=None))


class EncodableTest(unittest.TestCase):
    def test_only_what_utf8_lacks_is_replaced(self) -> None:
        for text, wanted in (
            ("", ""),
            ("gäste \x00 \U0001f600", "gäste \x00 \U0001f600"),
            ("a\ud800b", "a?b"),
        ):
            with self.subTest(text=ascii(text)):
                self.assertEqual(wire_text.encodable(text), wanted)


if __name__ == "__main__":
    unittest.main()
