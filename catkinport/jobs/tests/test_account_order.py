"""Tests of the order of jobs while accounts compete for a pool that is short."""

from ...policy.job_order import order_key
from ...runtime import Metrics
from ..placement.pool_order import PoolState
from ..placement.share_reporter import MAX_LABELS, AccountShare, ShareReporter
from .account_load import LoadedFleet

ORDINARY = [f"a{number}" for number in range(19)]


class TestHotAccount:
    def test_ordinary_accounts_are_on_time_beside_one_with_ten_times_its_rate(self):
        """Guards against a hot account that takes the pool from all others.

        It sent ten times its rate, and the median wait of the others was 10 to 12 s.
        """
        fleet = LoadedFleet(6, dict.fromkeys(["hot", *ORDINARY], 1.0))
        fleet.send_evenly(20.0, {**dict.fromkeys(ORDINARY, 1.0), "hot": 10.0})
        fleet.run_idle(20.0)
        assert fleet.share_on_time(ORDINARY) >= 0.95
        assert len(fleet.latencies_by_account["hot"]) == 200

    def test_a_surplus_job_is_not_starved(self):
        """Guards against surplus that never runs while others fill the pool."""
        fleet = LoadedFleet(5, dict.fromkeys(["hot", *ORDINARY], 1.0))
        fleet.send("hot", 40)
        fleet.send_evenly(40.0, dict.fromkeys([*ORDINARY, "hot"], 1.05))
        assert len(fleet.latencies_by_account["hot"]) >= 40

    def test_three_hot_accounts_that_overlap(self):
        """Guards against hot accounts that share the pool among themselves only."""
        hot = ["hot0", "hot1", "hot2"]
        fleet = LoadedFleet(7, dict.fromkeys([*hot, *ORDINARY], 1.0))
        rates = dict.fromkeys(ORDINARY, 1.0)
        fleet.send_evenly(6.0, rates | {"hot0": 10.0})
        fleet.send_evenly(6.0, rates | {"hot0": 10.0, "hot1": 10.0})
        fleet.send_evenly(6.0, rates | {"hot1": 10.0, "hot2": 10.0})
        fleet.run_idle(20.0)
        assert fleet.share_on_time(ORDINARY) >= 0.95
        assert fleet.share_on_time(hot) >= 0.15


class TestAlternation:
    def test_two_accounts_whose_bursts_alternate_get_the_same(self):
        """Guards against shares by what runs now only.

        The account whose burst came second found the pool full of the other's work.
        """
        fleet = LoadedFleet(2, {"a": 4.0, "b": 4.0})
        for _ in range(6):
            fleet.send("a", 18)
            fleet.run_idle(2.0)
            fleet.send("b", 18)
            fleet.run_idle(2.0)
        fleet.run_idle(10.0)
        on_time = [fleet.share_on_time([name]) for name in ("a", "b")]
        assert abs(on_time[0] - on_time[1]) <= 0.1


class TestShareReport:
    def test_gauges_show_the_surplus_and_end_with_the_ownership(self):
        """Guards against a hot account that no metric shows."""
        fleet = LoadedFleet(1, {"hot": 1.0, "calm": 1.0})
        fleet.send("hot", 30)
        fleet.send("calm", 2)
        fleet.tick()
        metrics, reporter = Metrics(), ShareReporter()
        reporter.report(fleet.planner.order.shares_by_pool, fleet.now, metrics)
        label = '{account="hot",pool="renders"}'
        text = metrics.render()[0].decode()
        assert f"account_surplus_jobs{label} 20\n" in text
        reporter.clear(metrics)
        text = metrics.render()[0].decode()
        assert f"account_surplus_jobs{label} 0\n" in text

    def test_the_number_of_labels_is_bounded(self):
        """Guards against metrics that grow with the number of accounts."""
        shares = {f"a{i}": AccountShare(1.0, 1.0, 1, 0) for i in range(1000)}
        metrics = Metrics()
        ShareReporter().report({"p": shares}, 0.0, metrics)
        text = metrics.render()[0].decode()
        assert text.count("account_share_cores{") == MAX_LABELS


class TestWeights:
    def test_an_account_of_three_times_the_weight_gets_three_times_the_room(self):
        """Guards against equal shares for accounts of different weights."""
        fleet = LoadedFleet(2, {"large": 60.0, "small": 20.0})
        for account in ("small", "large"):
            fleet.send(account, 40)
        fleet.tick()
        running = [run.record.job.account for run in _find_runs(fleet)]
        assert (running.count("large"), running.count("small")) == (6, 2)


class TestOneAccount:
    def test_its_jobs_keep_their_order_however_many_it_sends(self):
        """Guards against surplus that changes the order where nobody competes."""
        fleet = LoadedFleet(1, {"a": 1.0, "idle": 5.0})
        for n_tasks in (3, 1, 2, 1, 5, 4, 2, 1) * 3:
            fleet.send("a", n_tasks=n_tasks)
        fleet.planner.order.note_arrivals()
        assert any(record.is_surplus for record in _find_records(fleet))
        assert _find_order(fleet) == _find_order_without_accounts(fleet)


class TestPoolWithRoom:
    def test_the_order_does_not_depend_on_accounts(self):
        """Guards against a changed order where all jobs start at once anyway."""
        fleet = LoadedFleet(20, {"a": 1.0, "b": 1.0})
        for account in ("a", "a", "a", "b", "a", "a", "a"):
            fleet.send(account, 2)
        fleet.planner.order.note_arrivals()
        assert _find_order(fleet) == _find_order_without_accounts(fleet)


def _find_records(fleet):
    return list(fleet.dispatcher.job_by_id.values())


def _find_runs(fleet):
    workers = fleet.dispatcher.worker_by_id.values()
    return [run for worker in workers for run in worker.run_by_key.values()]


def _find_items(fleet):
    queue_of = fleet.dispatcher.queue_of
    return [(record, queue_of(record)) for record in _find_records(fleet)]


def _find_order(fleet):
    workers = fleet.dispatcher.worker_by_id.values()
    free_cores = sum(worker.free().cores for worker in workers)
    state = PoolState("renders", free_cores, {})
    ordered = fleet.planner.order.sort(state, _find_items(fleet), fleet.now, fleet.now)
    return [record.job.job_id for record, _ in ordered]


def _find_order_without_accounts(fleet):
    view_job = fleet.dispatcher.estimates.view_job
    ordered = sorted(
        _find_items(fleet), key=lambda item: order_key(view_job(*item), fleet.now)
    )
    return [record.job.job_id for record, _ in ordered]
