"""Tests that no answer of a worker or service ends a loop of the daemon.

An exception in one of its loops ends the ownership of the daemon. An answer that comes
again would end that of each successor too, and nobody would own the fleet.
"""

import asyncio
import base64
import json
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...jobs.configuration import FleetConfiguration
from ...policy.resources import Resources
from ...ports import Unavailable
from ...ports.async_table import Snapshot
from ...ports.fleet_vms import UpkeepWave
from ...ports.fleet_workers import ListedWorker, StartOrder, WorkerLists
from ...ports.table import Condition, RowKey, Transaction, Write
from ..advice import PlatformAdvice
from ..client import Reply, decode_reply
from ..decoding import MessageError
from ..operator_rows import decode_configuration, decode_wave
from ..table import PlatformTable, decode_row
from ..vms import PlatformVms
from ..workers import PlatformWorkers

DEEP_JSON = b"[" * 100_000
"""JSON text that is nested too deeply for the decoder."""

HUGE_INTEGER = 10**400

JSON_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-2, 2**70)
    | st.just(HUGE_INTEGER)
    | st.floats()
    | st.text(max_size=6)
)

FIELDS = st.sampled_from(
    [
        "ClockMs",
        "Running",
        "Ended",
        "born",
        "Good",
        "Reason",
        "Machines",
        "NextToken",
        "Machine",
        "Pool",
        "State",
        "Id",
        "Labels",
        "Capacity",
        "rows",
        "Ver",
        "Truncated",
        "Table",
        "Key",
        "Value",
        "Tombstone",
        "Routes",
        "Services",
        "Tenants",
        "Limits",
        "Version",
        "Name",
        "Maximum",
        "Advice",
    ]
)

JSON_VALUES = st.recursive(
    JSON_SCALARS,
    lambda inner: (
        st.lists(inner, max_size=5) | st.dictionaries(FIELDS, inner, max_size=6)
    ),
    max_leaves=15,
)

RUN = ["00000000000000a1.0.0.0", 1, "", 41, 87]
END = [1, "00000000000000a1.0.0.0", 1, "done", ""]
WORKER = ListedWorker(
    "i-1", "p", "h:1", "z", False, 0.0, Resources(4.0, 8.0, 0), (), 1.0
)
KEY = RowKey("leader", "owner")
TRANSACTION = Transaction([Condition(KEY, 1)], [Write(KEY, {})])


class OneAnswerClient:
    """Client that gets the same answer to each call."""

    def __init__(self, body, status=200):
        self.reply = Reply(status, body)

    async def call(self, *args, **options):
        return self.reply


def make_workers(body, status=200):
    clock = SimpleNamespace(now=lambda: 100.0)
    client = OneAnswerClient(body, status)
    return PlatformWorkers(client, None, clock)


def hold(body):
    return asyncio.run(make_workers(body).renew_lease(WORKER, 7, 0, 4.0, 0.0))


def replace_at(entry, index, value):
    return [*entry[:index], value, *entry[index + 1 :]]


class TestWorkerAnswers:
    @given(JSON_VALUES)
    def test_any_lists_are_decoded_or_count_as_no_answer(self, body):
        assert isinstance(hold(body), WorkerLists | Unavailable)

    @pytest.mark.parametrize("field", ["Running", "Ended"])
    @settings(max_examples=60)
    @given(st.integers(0, 4), JSON_VALUES)
    def test_any_field_of_a_run_is_decoded_or_counts_as_no_answer(
        self, field, index, value
    ):
        entry = replace_at(RUN if field == "Running" else END, index, value)
        body = {"ClockMs": 5, "born": 1, field: [entry]}
        assert isinstance(hold(body), WorkerLists | Unavailable)

    @pytest.mark.parametrize(
        "body",
        [
            None,
            [],
            {"ClockMs": float("inf"), "Running": [], "Ended": []},
            {"ClockMs": 5, "Running": [replace_at(RUN, 1, float("inf"))]},
            {"ClockMs": 5, "Ended": [replace_at(END, 0, float("inf"))]},
        ],
    )
    def test_answers_that_ended_the_ownership(self, body):
        """Guards against one worker's answer that costs the fleet its owner."""
        assert isinstance(hold(body), Unavailable)

    @pytest.mark.parametrize("task", ["", "a1", "a1.0.0.x", 7])
    def test_a_run_whose_name_is_malformed_counts_as_no_answer(self, task):
        """Guards against a name that the owner fails on once it looks up the task."""
        running = {"ClockMs": 5, "Running": [replace_at(RUN, 0, task)]}
        ended = {"ClockMs": 5, "Ended": [replace_at(END, 1, task)]}
        assert isinstance(hold(running), Unavailable)
        assert isinstance(hold(ended), Unavailable)

    def test_lists_that_cannot_be_read_are_logged_once(self, caplog):
        """Guards against a worker that gets no tasks without a line that says why."""
        workers = make_workers([])
        for _ in range(3):
            asyncio.run(workers.renew_lease(WORKER, 7, 0, 4.0, 0.0))
        assert caplog.text.count("worker lists ignored") == 1

    @given(JSON_VALUES, st.sampled_from([200, 400, 409, 421, 503]))
    def test_any_answer_to_an_order_is_an_outcome(self, body, status):
        workers = make_workers(body, status)
        order = StartOrder("00000000000000a1.0.0.0", 1, "s", "", "")
        asyncio.run(workers.start(WORKER, 7, order, 4.0))
        asyncio.run(workers.stop(WORKER, 7, order.task, 1))

    @given(JSON_VALUES)
    def test_any_tickets_are_decoded_or_count_as_no_answer(self, body):
        advice = PlatformAdvice(OneAnswerClient(body, 200), "advice:1")
        tickets = asyncio.run(advice.fetch_tickets("a1.0.0", ["i-1"], 3.0))
        assert isinstance(tickets, dict | Unavailable)


class TestWorkerEntries:
    @given(JSON_VALUES)
    def test_any_entry_is_decoded_or_left_out(self, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        row = decode_row({"Table": "servers", "Key": "i-1", "Value": text, "Ver": 3})

        async def read_range(table):
            return Snapshot([row], 3)

        workers = make_workers(None)
        workers._table = SimpleNamespace(read_range=read_range)
        assert asyncio.run(workers.list_workers()) == []

    def test_an_entry_that_is_nested_too_deeply_becomes_an_empty_object(self):
        """Guards against bytes of another program that end each owner in turn."""
        text = base64.b64encode(DEEP_JSON).decode()
        row = decode_row({"Table": "servers", "Key": "i-1", "Value": text, "Ver": 3})
        assert row.value == {}


class TestServices:
    def test_an_answer_that_is_nested_too_deeply_counts_as_no_answer(self):
        """Guards against an answer of a worker that ends the loop that reads it."""
        outcome = decode_reply("worker-hold", "h:1", 200, DEEP_JSON, 0.0)
        assert isinstance(outcome, Unavailable)

    @given(JSON_VALUES)
    def test_any_list_of_vms_is_decoded_or_counts_as_no_answer(self, body):
        vms = PlatformVms(OneAnswerClient(body), "vms:1", "edge-1")
        listed = asyncio.run(vms.list_vms())
        assert isinstance(listed, list | Unavailable)

    @pytest.mark.parametrize("worker_id", [["i-1"], {"i": 1}, 7])
    def test_a_vm_whose_worker_is_no_text_is_not_listed(self, worker_id):
        """Guards against an id that the owner fails on once it looks up the worker."""
        entry = {"Machine": "m0", "Pool": "p", "State": "up", "Id": worker_id}
        vms = PlatformVms(OneAnswerClient({"Machines": [entry]}), "vms:1", "edge-1")
        listed = asyncio.run(vms.list_vms())
        assert listed == [] or isinstance(listed, Unavailable)

    @given(JSON_VALUES, st.sampled_from([200, 412, 503]))
    def test_any_answer_of_the_store_is_an_outcome(self, body, status):
        table = PlatformTable(OneAnswerClient(body, status), "store:1")
        asyncio.run(table.read_range("states"))
        asyncio.run(table.follow("jobs", 3, 0.0))
        asyncio.run(table.commit(TRANSACTION))

    @pytest.mark.parametrize("body", [{}, {"Ver": 3}, {"rows": None, "Ver": 3}])
    def test_an_answer_without_rows_is_not_an_empty_table(self, body):
        """Guards against a fleet that counts as gone for one malformed answer."""
        table = PlatformTable(OneAnswerClient(body), "store:1")
        assert isinstance(asyncio.run(table.read_range("states")), Unavailable)
        assert isinstance(asyncio.run(table.follow("jobs", 3, 0.0)), Unavailable)

    def test_a_truncated_page_without_rows_counts_as_no_answer(self):
        """Guards against jobs that a new owner misses, as their rows follow."""
        body = {"rows": [], "Ver": 3, "Truncated": True}
        table = PlatformTable(OneAnswerClient(body), "store:1")
        assert isinstance(asyncio.run(table.read_range("states")), Unavailable)


class TestOperatorRows:
    @given(st.dictionaries(FIELDS, JSON_VALUES, max_size=6))
    def test_any_configuration_is_decoded_or_rejected(self, value):
        try:
            assert isinstance(decode_configuration(value), FleetConfiguration)
        except MessageError:
            return

    def test_limits_that_are_no_object_are_rejected(self):
        """Guards against a row that ends the loop that follows the configuration."""
        with pytest.raises(MessageError):
            decode_configuration({"Version": 7, "Limits": [1]})

    @given(st.dictionaries(FIELDS, JSON_VALUES, max_size=6))
    def test_any_wave_is_decoded_or_rejected(self, value):
        try:
            assert isinstance(decode_wave(value), UpkeepWave)
        except MessageError:
            return
