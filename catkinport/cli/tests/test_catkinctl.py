"""Tests of catkinctl against the administration API over HTTP."""

import json
import socket
import threading

import pytest

from ...administration.tests.fakes import OPERATOR_DOCUMENT, SECRET, FakeDaemon
from ...fleet import operations
from ...ports import Reason, Refused
from ...runtime import HttpServer
from ...settings.keys import check_key
from ...state import job_key
from .. import api
from ..exit_codes import ExitCode
from ..main import run


class SharedServer:
    """An HTTP server that serves one deployment after another.

    A server takes 0.5 s to stop, so the tests of this module share two.
    """

    def __init__(self):
        self.application = None
        self.server = HttpServer(self._serve, "127.0.0.1", 0, n_threads=2)
        self.server.start()

    def _serve(self, environ, start_response):
        return self.application(environ, start_response)


class Deployment:
    """A daemon whose API is on a port, and catkinctl commands that call it."""

    def __init__(self, shared_server, capsys):
        self.daemon = FakeDaemon()
        self.lost_answers = 0
        self.address = f"http://{shared_server.server.address}"
        self._capsys = capsys
        shared_server.application = self._serve

    def _serve(self, environ, start_response):
        body = self.daemon.router(environ, start_response)
        if self.lost_answers:
            self.lost_answers -= 1
            raise ConnectionResetError("the answer is lost on purpose")
        return body

    def run(self, *arguments):
        argv = ["--api", self.address, "--output", "json", *arguments]
        self._capsys.readouterr()
        code = run(argv)
        written = self._capsys.readouterr()
        return code, json.loads(written.out if code == 0 else written.err)


@pytest.fixture(scope="module")
def shared_servers():
    shared_servers = [SharedServer(), SharedServer()]
    yield shared_servers
    for shared_server in shared_servers:
        shared_server.server.stop()


@pytest.fixture
def start(shared_servers, capsys, monkeypatch):
    monkeypatch.setattr(api, "RETRY_SECONDS", 0.0)
    monkeypatch.setenv("CATKIN_OPERATOR_KEY", f"ana.{SECRET}")
    free = iter(shared_servers)
    return lambda: Deployment(next(free), capsys)


@pytest.fixture
def document(tmp_path):
    path = tmp_path / "environment.ini"
    path.write_bytes(OPERATOR_DOCUMENT.encode())
    return path


@pytest.fixture
def deployment(start, document, monkeypatch):
    deployment = start()
    with monkeypatch.context() as patch:
        patch.setenv("CATKIN_OPERATOR_KEY", f"first.{SECRET}")
        code, _ = deployment.run("apply", str(document), "--expected-revision", "0")
    assert code == ExitCode.DONE
    return deployment


class TestDocumentCommands:
    """Tests of checking, applying and promoting documents."""

    def test_check_needs_no_environment(self, document, capsys):
        assert run(["check", str(document)]) == ExitCode.DONE
        document.write_text("[team a]\nweight = -1\n")
        assert run(["check", str(document)]) == ExitCode.INVALID
        assert "line 2: [team a] weight" in capsys.readouterr().err
        assert run(["check", str(document) + "x"]) == ExitCode.INVALID

    def test_apply_conflict(self, deployment, document):
        """Guards against an operator's file that overwrites a newer document."""
        apply = ("apply", str(document))
        assert deployment.run(*apply)[0] == ExitCode.USAGE
        code, failure = deployment.run(*apply, "--expected-revision", "0")
        assert (code, failure["current_revision"]) == (ExitCode.CONFLICT, 1)
        code, report = deployment.run(*apply, "--dry-run")
        assert (code, report["current_revision"], report["diff"]) == (0, 1, "")

    def test_promote(self, deployment, start, document):
        """Guards against line endings or comments that a promotion changes."""
        text = OPERATOR_DOCUMENT.replace("\n", "\r\n") + "# Last line"
        document.write_bytes(text.encode())
        deployment.run("apply", str(document), "--expected-revision", "1")
        target = start()
        target.daemon.membership.accept_document(OPERATOR_DOCUMENT, 0, "c-0", "x")
        promote = ("promote", "--from-api", deployment.address)
        revision = ("--expected-revision", "1")
        code, _ = target.run(*promote, *revision, "--from-revision", "1")
        assert code == ExitCode.CONFLICT
        code, _ = target.run(*promote, *revision, "--from-revision", "2")
        assert code == ExitCode.DONE
        assert target.daemon.membership.snapshot().document == text


class TestKeyCommands:
    """Tests of the commands on keys."""

    def test_grant_and_withdraw(self, deployment):
        code, report = deployment.run("key", "grant", "blue-2", "blue-web")
        assert code == ExitCode.DONE
        header = "Bearer " + report["key"]
        environment = deployment.daemon.membership.snapshot().environment
        assert check_key(environment, header).team.name == "blue"
        assert deployment.run("key", "withdraw", "blue-2")[0] == ExitCode.DONE
        assert deployment.run("key", "withdraw", "blue-2")[0] == ExitCode.NOT_FOUND

    def test_repeated_grant(self, deployment, tmp_path):
        """Guards against a lost answer that leaves a key whose secret is lost too."""
        path = tmp_path / "secret"
        grant = ("key", "grant", "blue-2", "blue-web", "--secret-file", str(path))
        deployment.lost_answers = api.N_ATTEMPTS
        code, failure = deployment.run(*grant, "--change-id", "c-5")
        assert code == ExitCode.UNKNOWN
        assert "--change-id c-5" in failure["hint"]
        assert deployment.run(*grant, "--change-id", "c-5")[1]["revision"] == 2
        environment = deployment.daemon.membership.snapshot().environment
        header = f"Bearer blue-2.{path.read_text().strip()}"
        assert check_key(environment, header).key_name == "blue-2"
        assert path.stat().st_mode & 0o077 == 0

    def test_created_key_fits_a_section(self, deployment):
        code, created = deployment.run("key", "create", "ben")
        section = "[operator ben]\nsalt = {salt}\ndigest = {digest}\n"
        text = OPERATOR_DOCUMENT + section.format(**created)
        membership = deployment.daemon.membership
        membership.accept_document(text, 1, "c-2", "ana")
        operators = membership.snapshot().environment.operator_by_name
        assert operators["ben"].digest == created["digest"]


class TestFleetCommands:
    """Tests of commands on VMs, maintenance and jobs, and of overviews."""

    def test_refused_drain(self, deployment, monkeypatch):
        """Guards against a drain reported as done although it exceeds the budget."""
        refusal = Refused(Reason.BUDGET_EXHAUSTED, "vm-drain", detail="no budget left")
        monkeypatch.setattr(operations, "drain_vm", lambda *a, **b: refusal)
        code, failure = deployment.run("vm", "drain", "vm-1")
        assert (code, failure["error"]) == (ExitCode.CONFLICT, "no budget left")

    def test_jobs(self, deployment):
        job = {"team": "blue", "account": "", "state": "done", "attempt": 1}
        job.update(worker_vm="", reason="", is_cancel_requested=False)
        deployment.daemon.write(job_key("captions-open", "j-1"), job)
        cancel = ("job", "cancel", "captions-open", "j-1")
        assert deployment.run(*cancel)[1]["is_cancel_requested"] is False
        listed = deployment.run("job", "list", "--state", "done")[1]["jobs"]
        assert [entry["job_id"] for entry in listed] == ["j-1"]

    @pytest.mark.parametrize(
        "arguments",
        [
            ["status"],
            ["members"],
            ["show"],
            ["key", "list"],
            ["vm", "list"],
            ["maintenance", "plan"],
            ["maintenance", "start"],
            ["maintenance", "pause"],
            ["job", "list"],
            ["top", "--count", "1"],
        ],
    )
    def test_both_formats(self, deployment, arguments, capsys):
        """Guards against table output that fails on an answer of the API."""
        assert deployment.run(*arguments)[0] == ExitCode.DONE
        assert run(["--api", deployment.address, *arguments]) == ExitCode.DONE
        assert capsys.readouterr().out.strip()


class TestFailures:
    """Tests of the exit codes of failed requests."""

    def test_wrong_key(self, deployment, monkeypatch):
        monkeypatch.setenv("CATKIN_OPERATOR_KEY", "ana." + "T" * 43)
        assert deployment.run("status")[0] == ExitCode.ACCESS
        monkeypatch.delenv("CATKIN_OPERATOR_KEY")
        assert deployment.run("status")[0] == ExitCode.ACCESS

    def test_stale_entry(self, deployment):
        deployment.daemon.clock.advance(101)
        code, failure = deployment.run("maintenance", "start")
        assert code == ExitCode.UNAVAILABLE
        assert "nothing was changed" in failure["hint"]

    def test_refused_connection_is_not_run(self, start):
        """Guards against an unknown outcome for a change that was never sent."""
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            address = f"http://127.0.0.1:{closed.getsockname()[1]}"
            code = run(["--api", address, "maintenance", "start"])
        assert code == ExitCode.UNAVAILABLE

    def test_closed_connection_is_unknown(self, start):
        """Guards against a change reported as not run that may have been sent."""
        with socket.create_server(("127.0.0.1", 0)) as server:

            def close_connections():
                for _ in range(api.N_ATTEMPTS):
                    server.accept()[0].close()

            thread = threading.Thread(target=close_connections)
            thread.start()
            address = f"http://127.0.0.1:{server.getsockname()[1]}"
            code = run(["--api", address, "maintenance", "start"])
            thread.join()
        assert code == ExitCode.UNKNOWN
