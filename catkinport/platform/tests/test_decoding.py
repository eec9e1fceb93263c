"""Tests of decoding the platform's messages, valid and malformed."""

import pytest

from ...policy.resources import Resources
from ...ports.fleet_workers import EndKind
from ..decoding import MessageError
from ..jobs_codec import decode_job
from ..operator_rows import decode_configuration, decode_wave
from ..table import decode_row
from ..workers_codec import MAX_LISTED_ENDS, decode_lists, decode_worker

WORKER = {
    "Service": "huvo11a",
    "Address": "10.128.0.9:8080",
    "Zone": "chc-a",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdLeftMs": 0,
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 0},
    "Labels": ["a", "r1-3"],
    "ClockMs": 482113,
    "Sequence": 4,
}
CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-4jcda9r",
            "Host": "cuzi25.example",
            "PathPrefix": "/kafi706/",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 600,
            "Priority": 1,
            "Service": "lovo22d",
            "MaxAttempts": 3,
            "Stretch": 1.6,
            "Public": False,
        }
    ],
    "Services": [{"Name": "lovo22d", "EnforcesCapacity": True, "Spare": False}],
    "Limits": {"MaxBodyBytes": 262144},
    "Tenants": [
        {
            "Name": "cugo130",
            "ApiKeys": ["k1", "k2"],
            "Weight": 27,
            "Maximum": {"Cpu": 1553108, "MemMb": 3800525, "Gpu": 0},
        }
    ],
}


class TestWorkerEntry:
    def test_amounts_are_converted_to_cores_and_gb(self):
        worker = decode_worker("i-1", WORKER)
        assert worker.pool == "huvo11a"
        assert worker.capacity == Resources(16.0, 32.0, 0)
        assert worker.labels == ("a", "r1-3")

    @pytest.mark.parametrize(
        "change",
        [
            {"State": "gone"},
            {"State": 3},
            {"Service": None},
            {"Address": "nowhere"},
            {"Capacity": [1]},
            {"Capacity": {"Cpu": "many"}},
            {"Capacity": None},
            {"Capacity": "16"},
            {"Capacity": {"Cpu": -1, "MemMb": 1, "Gpu": 0}},
            {"Capacity": {"Cpu": 1, "MemMb": -1, "Gpu": 0}},
            {"Capacity": {"Cpu": 1, "MemMb": 1, "Gpu": "1"}},
            {"Capacity": {"Cpu": 1, "MemMb": float("nan"), "Gpu": 0}},
            {"Capacity": {"Cpu": 1, "MemMb": None, "Gpu": 0}},
            {"Capacity": {"Cpu": True, "MemMb": 1, "Gpu": 0}},
            {"Labels": "a"},
            {"Zone": 1},
            {"Capacity": {"Cpu": float("inf"), "MemMb": 1, "Gpu": 0}},
            {"Capacity": {"Cpu": 10**400, "MemMb": 1, "Gpu": 0}},
        ],
    )
    def test_malformed_entry_is_rejected(self, change):
        """Guards against a malformed entry of another program that stops the owner."""
        with pytest.raises(MessageError):
            decode_worker("i-1", {**WORKER, **change})

    @pytest.mark.parametrize(
        "change",
        [
            {"Service": ""},
            {"Service": "x" * 191},
            {"Service": "\ud800"},
            {"Address": "h" * 200 + ":80"},
            {"Zone": "x" * 201},
            {"Zone": "\ud800"},
            {"Labels": ["a", "x" * 201]},
            {"Labels": ["\udfff"]},
        ],
        ids=str,
    )
    def test_entry_that_no_row_can_hold_is_rejected(self, change):
        """Guards against an entry of another program that keeps rows from storage."""
        with pytest.raises(MessageError):
            decode_worker("i-1", {**WORKER, **change})

    @pytest.mark.parametrize("field", ["State", "Service", "Address", "Capacity"])
    def test_entry_with_a_missing_field_is_rejected(self, field):
        entry = {name: value for name, value in WORKER.items() if name != field}
        with pytest.raises(MessageError):
            decode_worker("i-1", entry)


class TestLists:
    def test_both_lists_are_read(self):
        lists = decode_lists(
            {
                "ClockMs": 5,
                "born": 1700000000000,
                "Running": [["5c0e.0.1.17", 2, "00ab", 41, 87]],
                "Ended": [[58, "5c0e.0.1.9", 1, "done", ""]],
            }
        )
        assert lists.running[0].checkpoint == "00ab"
        assert lists.running[0].load == 87.0
        assert lists.ended[0].how is EndKind.DONE
        assert lists.started_at == 1700000000.0

    @pytest.mark.parametrize("n_more", [-1, 0])
    def test_a_full_list_of_ends_may_lack_others(self, n_more):
        """Guards against a second start of tasks whose ends come with the next answer.

        An answer holds 500 ended runs at most.
        """
        ended = [
            [number + 1, f"5c0e.0.1.{number}", 1, "done", ""]
            for number in range(MAX_LISTED_ENDS + n_more)
        ]
        assert decode_lists({"Ended": ended}).may_lack_ends is (n_more == 0)

    def test_running_entry_without_a_load(self):
        lists = decode_lists({"Running": [["5c0e.0.1.17", 2, "", 41]]})
        assert lists.running[0].load == 0.0


class TestRow:
    def test_value_that_is_no_json_becomes_an_empty_object(self):
        """Guards against bytes of another program that stop the reader of a table."""
        row = decode_row(
            {"Table": "servers", "Key": "i-1", "Value": "/////w==", "Ver": 3}
        )
        assert (row.value, row.version) == ({}, 3)

    def test_removed_row_has_no_value(self):
        row = decode_row({"Table": "jobs", "Key": "a", "Tombstone": True, "Ver": 3})
        assert row.value is None

    def test_absent_row(self):
        assert decode_row({"Table": "jobs", "Key": "a", "Ver": 0}) is None


class TestConfiguration:
    def test_queue_and_account(self):
        configuration = decode_configuration(CONFIGURATION)
        queue = configuration.find_queue("cuzi25.example", "/kafi706/00ff")
        assert (queue.pool, queue.max_failures, queue.target_seconds) == (
            "lovo22d",
            3,
            0.6,
        )
        assert configuration.account_name_by_key == {"k1": "cugo130", "k2": "cugo130"}
        limit = configuration.account_by_name["cugo130"].limit
        assert limit.cores == pytest.approx(1553.108)

    def test_longest_prefix_wins(self):
        route = CONFIGURATION["Routes"][0]
        longer = {**route, "Name": "long", "PathPrefix": "/kafi706/fi50/"}
        configuration = decode_configuration(
            {**CONFIGURATION, "Routes": [route, longer]}
        )
        queue = configuration.find_queue("cuzi25.example", "/kafi706/fi50/ab")
        assert queue.name == "long"

    def test_limits_of_clients(self):
        """Guards against limits that clients are told and that do not hold."""
        limits = {
            "MaxHeaderBytes": 8192,
            "MaxBodyBytes": 65536,
            "HeaderTimeoutMs": 2000,
            "IdleTimeoutMs": 9000,
        }
        configuration = decode_configuration({**CONFIGURATION, "Limits": limits})
        assert configuration.max_header_bytes == 8192
        assert configuration.max_body_bytes == 65536
        assert configuration.header_seconds == 2.0
        assert configuration.idle_seconds == 9.0

    def test_limits_of_0_have_defaults(self):
        """Guards against a configuration with which every request is refused."""
        limits = dict.fromkeys(("MaxHeaderBytes", "MaxBodyBytes", "IdleTimeoutMs"), 0)
        configuration = decode_configuration({**CONFIGURATION, "Limits": limits})
        assert configuration.max_header_bytes == 16384
        assert configuration.max_body_bytes == 262144
        assert configuration.idle_seconds == 15.0

    def test_version_that_is_no_number_is_rejected(self):
        with pytest.raises(MessageError):
            decode_configuration({**CONFIGURATION, "Version": "7"})

    def test_wave(self):
        wave = decode_wave(
            {"Wave": 1, "Machines": ["m-1"], "DeadlineS": 20, "Maximum": 2}
        )
        assert (wave.vm_ids, wave.max_down) == (("m-1",), 2)


class TestJob:
    def test_steps(self):
        message = {
            "Spec": "t",
            "Steps": [
                {"Count": 4, "Cpu": 500, "MemMb": 256, "EstimateMs": 900},
                {"Count": 2, "Cpu": 2000, "After": [0], "Checkpointing": True},
            ],
        }
        job = decode_job(message, "0" * 16, "q", "a", 1.0)
        assert job.steps[0].need == Resources(0.5, 0.25, 0)
        assert (job.steps[1].after, job.steps[1].saves_work) == ((0,), True)

    @pytest.mark.parametrize(
        "message",
        [
            {"Spec": "t"},
            {"Steps": []},
            {"Steps": [{"Count": 0}]},
            {"Steps": [{"Count": 1.5}]},
            {"Steps": [{"Count": 1, "After": [0]}]},
            {"Steps": [{"Count": 1, "Cpu": -1}]},
            {"Steps": [{"Count": 10**9}]},
            {"Spec": "x" * 4001, "Steps": [{"Count": 1}]},
            {"Spec": 3, "Steps": [{"Count": 1}]},
            {"Steps": [{"Count": float("inf")}]},
            {"Steps": [{"Count": 1, "Cpu": float("nan")}]},
            {"Steps": [{"Count": 1, "EstimateMs": 10**400}]},
        ],
    )
    def test_malformed_job_is_rejected(self, message):
        with pytest.raises(MessageError):
            decode_job(message, "0" * 16, "q", "a", 1.0)
