"""Tests of the forecast of waits in a pool that is short."""

import math

from ..account_shares import AccountTurn
from ..job_order import JobView, Prospect, order_key
from ..wait_forecast import (
    ComingCores,
    ForecastJob,
    JobWork,
    PoolRoom,
    WaitForecast,
    forecast_prospects,
)

NOW = 100.0


def make_forecast_job(
    age: float = 0.0,
    cores: float = 8.0,
    chain: float = 1.0,
    objective: float = 2.2,
    later: float = 0.0,
    turn: AccountTurn = AccountTurn.WITHIN_SHARE,
) -> ForecastJob:
    """Return a job whose ready tasks take a second each."""
    work = cores + later
    view = JobView(NOW - age, objective, chain, work, work, work, 0, False)
    return ForecastJob(view, JobWork(cores, cores, later), turn)


def forecast(jobs, room) -> list[Prospect]:
    ordered = sorted(jobs, key=lambda job: order_key(job.view, NOW, job.turn))
    return forecast_prospects(ordered, room, NOW)


class TestPoolRoom:
    def test_cores_that_come_count_from_when_they_are_up(self):
        """Guards against jobs that count as late beside VMs that move in."""
        room = PoolRoom(4.0, 0.0, [ComingCores(2.0, 4.0), ComingCores(1.0, 8.0)])
        assert math.isclose(room.find_seconds(4.0), 1.0)
        assert math.isclose(room.find_seconds(16.0), 2.0)
        assert math.isclose(room.find_seconds(32.0), 3.0)

    def test_a_pool_without_cores_never_does_its_work(self):
        """Guards against a division by zero while all workers of a pool are down."""
        assert PoolRoom(0.0, 0.0).find_seconds(1.0) == math.inf
        coming = [ComingCores(1.5, 4.0)]
        assert math.isclose(PoolRoom(0.0, 0.0, coming).find_seconds(4.0), 2.5)


class TestWaits:
    def test_a_job_for_which_there_is_room_does_not_wait(self):
        """Guards against late jobs beside free cores."""
        waits = WaitForecast(PoolRoom(32.0, 8.0))
        assert waits.find_wait(JobWork(8.0, 8.0)) == 0.0

    def test_the_work_ahead_is_waited_for(self):
        """Guards against a job that counts as on time though its turn comes 3 s later.

        Three jobs of a second each, which take the whole pool, are ahead of it.
        """
        waits = WaitForecast(PoolRoom(8.0, 8.0))
        for _ in range(3):
            waits.add(make_forecast_job())
        assert math.isclose(waits.find_wait(JobWork(8.0, 8.0)), 3.0)

    def test_later_steps_delay_only_jobs_that_wait_for_long(self):
        """Guards against jobs that wait for steps which start after they have ended."""
        waits = WaitForecast(PoolRoom(16.0, 16.0))
        waits.add(make_forecast_job(cores=8.0, chain=4.0, later=240.0))
        assert waits.find_wait(JobWork(8.0, 8.0)) == 0.0

    def test_a_job_all_of_whose_tasks_run_does_not_wait(self):
        """Guards against a job that is taken for late while it is served."""
        waits = WaitForecast(PoolRoom(8.0, 0.0))
        waits.add(make_forecast_job(cores=80.0))
        assert waits.find_wait(JobWork(0.0, 0.0, 8.0)) == 0.0


class TestBacklog:
    def test_of_two_jobs_that_need_the_whole_pool_one_is_on_time(self):
        """Guards against two jobs that share the pool until both are late.

        Both are on time only if they start now.
        """
        jobs = [make_forecast_job(age=1.1, cores=16.0) for _ in range(2)]
        assert forecast(jobs, PoolRoom(16.0, 16.0)) == [
            Prospect.ON_TIME,
            Prospect.LATE,
        ]

    def test_the_room_of_jobs_that_would_be_late_goes_to_those_that_can_make_it(self):
        """Guards against a backlog after an outage that makes all new jobs late.

        Ten jobs of 1 s that have waited for 0.7 s need the whole pool each; only one is
        on time. A job with more time comes after them in the order, and makes it.
        """
        backlog = [make_forecast_job(age=0.7, cores=8.0) for _ in range(10)]
        patient = make_forecast_job(cores=8.0, objective=3.2, later=1.0)
        prospects = forecast([*backlog, patient], PoolRoom(8.0, 8.0))
        assert prospects[0] is Prospect.ON_TIME
        assert Prospect.ON_TIME not in prospects[1:10]
        assert prospects[10] is Prospect.ON_TIME

    def test_late_jobs_that_will_be_hopeless_take_no_room_from_other_late_ones(self):
        """Guards against late jobs that are served in turn until all are hopeless."""
        late = [make_forecast_job(age=4.0) for _ in range(10)]
        prospects = forecast(late, PoolRoom(8.0, 8.0))
        n_late = prospects.count(Prospect.LATE)
        assert 2 <= n_late <= 3
        assert prospects.count(Prospect.HOPELESS) == 10 - n_late

    def test_surplus_waits_behind_late_jobs_if_it_would_be_late(self):
        """Guards against the surplus of an account that makes its own jobs late."""
        own = [make_forecast_job() for _ in range(2)]
        surplus = make_forecast_job(turn=AccountTurn.SURPLUS)
        prospects = forecast([surplus, *own], PoolRoom(8.0, 8.0))
        assert prospects == [Prospect.ON_TIME, Prospect.ON_TIME, Prospect.LATE]


class TestCalm:
    def test_prospects_without_a_wait_stay_as_they_are(self):
        """Guards against a changed order in a pool with room for all jobs."""
        jobs = [make_forecast_job(age=age) for age in (0.0, 1.0, 3.0, 9.0)]
        assert forecast(jobs, PoolRoom(64.0, 64.0)) == [
            Prospect.ON_TIME,
            Prospect.ON_TIME,
            Prospect.LATE,
            Prospect.HOPELESS,
        ]
