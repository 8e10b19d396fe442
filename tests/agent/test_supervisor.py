"""One process kept running: waits that grow, crash loops, stops that are no crashes, starts that hang."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge.process.supervisor import (
    FIRST_WAIT,
    LONGEST_WAIT,
    READY_WITHIN,
    SECOND,
    STABLE,
    STOP_WITHIN,
    Kill,
    Start,
    State,
    Stop,
    Supervisor,
    Wake,
)


def kinds(actions) -> list[type]:
    return [type(a) for a in actions if not isinstance(a, Wake)]


def running(now: int = 0) -> Supervisor:
    s = Supervisor()
    assert kinds(s.start(now)) == [Start]
    s.ready(now)
    return s


def test_a_crash_is_followed_by_a_start_after_a_wait_that_grows():
    s, now, waits = running(), 0, []
    for _ in range(4):
        [wake] = s.exited(now, "exit 1")
        waits.append(wake.at - now)
        assert s.tick(wake.at - 1) == []
        now = wake.at
        assert kinds(s.tick(now)) == [Start]
    assert waits == [FIRST_WAIT, 2 * FIRST_WAIT, 4 * FIRST_WAIT, 8 * FIRST_WAIT]
    assert not s.crash_loop


def test_five_crashes_within_a_minute_are_a_crash_loop_and_one_is_not():
    s, now = running(), 0
    for n in range(5):
        assert s.crash_loop is False, n
        [wake] = s.exited(now, "exit 1")
        now = wake.at
        s.tick(now)
    assert s.crash_loop
    assert s.wait() <= LONGEST_WAIT
    s.ready(now)
    s.tick(now + STABLE)
    assert not s.crash_loop and s.total_crashes == 5


def test_a_run_that_served_for_long_enough_starts_the_waits_anew_and_still_counts():
    """Killed each second for a minute a worker is back within 0.2 s each time; one that dies in its start is not."""
    for served, waits in ((SECOND, {FIRST_WAIT}), (STABLE, {FIRST_WAIT * n for n in (1, 2, 4, 8, 64)})):
        s, now, seen = Supervisor(served), 0, set()
        s.start(now)
        for _ in range(20):
            s.ready(now)
            s.exited(now + SECOND, "signal 9")
            seen.add(s.wait())
            now += SECOND + s.wait()
            s.tick(now)
        assert seen == waits and s.total_crashes == 20


def test_a_stop_is_no_crash():
    s = running()
    assert kinds(s.stop(5)) == [Stop]
    assert s.exited(6, "exit 0") == []
    assert (s.state, s.total_crashes) == (State.STOPPED, 0)


def test_a_stop_that_is_not_heard_is_followed_by_a_kill():
    s = running()
    s.stop(5)
    assert kinds(s.tick(5 + STOP_WITHIN - 1)) == []
    assert kinds(s.tick(5 + STOP_WITHIN)) == [Kill]
    s.exited(5 + STOP_WITHIN + 1, "signal 9")
    assert s.state is State.STOPPED


def test_a_start_that_hangs_is_ended_and_counts_as_a_crash():
    s = Supervisor()
    s.start(0)
    assert kinds(s.tick(READY_WITHIN)) == [Kill]
    s.exited(READY_WITHIN + 1, "signal 9")
    assert (s.state, s.total_crashes) == (State.WAITING, 1)


def test_a_restart_starts_once_the_old_process_has_ended():
    s = running()
    assert kinds(s.restart(5)) == [Stop]
    assert kinds(s.restart(6)) == []
    assert kinds(s.exited(7, "exit 0")) == [Start]
    assert s.total_crashes == 0


def test_a_stop_takes_a_start_back():
    s = running()
    s.restart(5)
    s.stop(6)
    assert s.exited(7, "exit 0") == [] and s.state is State.STOPPED
    s = running()
    s.exited(1, "exit 1")
    assert s.stop(2) == [] and s.state is State.STOPPED
    assert s.tick(10 * SECOND) == []


class Process(RuleBasedStateMachine):
    """A process that does what it likes, under orders that come as they like."""

    def __init__(self) -> None:
        super().__init__()
        self.s, self.now, self.alive, self.due = Supervisor(), 0, False, None

    def do(self, actions):
        for action in actions:
            if isinstance(action, Start):
                assert not self.alive, "two processes at once"
                self.alive = True
            elif isinstance(action, Wake):
                self.due = action.at
            else:
                assert self.alive, "nothing to end"

    @rule(what=st.sampled_from(["start", "stop", "restart"]))
    def order(self, what):
        self.do(getattr(self.s, what)(self.now))

    @precondition(lambda self: self.alive)
    @rule()
    def is_ready(self):
        self.do(self.s.ready(self.now))

    @precondition(lambda self: self.alive)
    @rule()
    def ends(self):
        self.alive = False
        self.do(self.s.exited(self.now, "exit"))

    @rule(seconds=st.integers(1, 40))
    def wait(self, seconds):
        self.now += seconds * SECOND
        if self.due is not None and self.due <= self.now:
            self.due = None
            self.do(self.s.tick(self.now))

    @invariant()
    def the_state_agrees_with_the_process(self):
        assert self.alive == (self.s.state in (State.STARTING, State.RUNNING, State.STOPPING))

    def teardown(self):
        """What is wanted comes about, if the process lets it."""
        for _ in range(6):
            if self.s.state is State.STOPPING:
                self.ends()
            self.wait(40)
        assert self.alive == self.s.wanted


Process.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestProcess = Process.TestCase
