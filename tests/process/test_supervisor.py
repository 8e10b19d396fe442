"""One supervised process: backoff, crash loops, stops that are no crashes, starts that hang."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge.process.supervisor import (
    FIRST_BACKOFF_US,
    MAX_BACKOFF_US,
    READY_TIMEOUT_US,
    SECOND_US,
    STABLE_RUN_US,
    STOP_TIMEOUT_US,
    Kill,
    SetTimer,
    Start,
    State,
    Stop,
    Supervisor,
)


def types_without_timers(actions) -> list[type]:
    return [type(a) for a in actions if not isinstance(a, SetTimer)]


def running(now: int = 0) -> Supervisor:
    supervisor = Supervisor()
    assert types_without_timers(supervisor.start(now)) == [Start]
    supervisor.ready(now)
    return supervisor


def test_a_crash_is_followed_by_a_start_after_a_growing_backoff():
    supervisor, now, waits = running(), 0, []
    for _ in range(4):
        [wake] = supervisor.exited(now, "exit 1")
        waits.append(wake.at - now)
        assert supervisor.tick(wake.at - 1) == []
        now = wake.at
        assert types_without_timers(supervisor.tick(now)) == [Start]
    assert waits == [
        FIRST_BACKOFF_US,
        2 * FIRST_BACKOFF_US,
        4 * FIRST_BACKOFF_US,
        8 * FIRST_BACKOFF_US,
    ]
    assert not supervisor.is_crash_looping


def test_five_crashes_within_a_minute_are_a_crash_loop_and_one_is_not():
    supervisor, now = running(), 0
    for n in range(5):
        assert supervisor.is_crash_looping is False, n
        [wake] = supervisor.exited(now, "exit 1")
        now = wake.at
        supervisor.tick(now)
    assert supervisor.is_crash_looping
    assert supervisor.backoff_us() <= MAX_BACKOFF_US
    supervisor.ready(now)
    supervisor.tick(now + STABLE_RUN_US)
    assert not supervisor.is_crash_looping
    assert supervisor.total_crashes == 5


def test_a_run_that_was_long_enough_resets_the_backoff_and_still_counts_as_a_crash():
    """Killed each second for a minute a worker is back within 0.2 s each time; one that dies in its start is not."""
    doubled = {FIRST_BACKOFF_US * n for n in (1, 2, 4, 8, 64)}
    for reset_after_us, expected in ((SECOND_US, {FIRST_BACKOFF_US}), (STABLE_RUN_US, doubled)):
        supervisor, now, seen = Supervisor(reset_after_us), 0, set()
        supervisor.start(now)
        for _ in range(20):
            supervisor.ready(now)
            supervisor.exited(now + SECOND_US, "signal 9")
            seen.add(supervisor.backoff_us())
            now += SECOND_US + supervisor.backoff_us()
            supervisor.tick(now)
        assert seen == expected
        assert supervisor.total_crashes == 20


def test_a_stop_is_no_crash():
    supervisor = running()
    assert types_without_timers(supervisor.stop(5)) == [Stop]
    assert supervisor.exited(6, "exit 0") == []
    assert (supervisor.state, supervisor.total_crashes) == (State.STOPPED, 0)


def test_a_stop_that_has_no_effect_is_followed_by_a_kill():
    supervisor = running()
    supervisor.stop(5)
    assert types_without_timers(supervisor.tick(5 + STOP_TIMEOUT_US - 1)) == []
    assert types_without_timers(supervisor.tick(5 + STOP_TIMEOUT_US)) == [Kill]
    supervisor.exited(5 + STOP_TIMEOUT_US + 1, "signal 9")
    assert supervisor.state is State.STOPPED


def test_a_start_that_hangs_is_killed_and_counts_as_a_crash():
    supervisor = Supervisor()
    supervisor.start(0)
    assert types_without_timers(supervisor.tick(READY_TIMEOUT_US)) == [Kill]
    supervisor.exited(READY_TIMEOUT_US + 1, "signal 9")
    assert (supervisor.state, supervisor.total_crashes) == (State.WAITING, 1)


def test_a_restart_starts_once_the_old_process_has_ended():
    supervisor = running()
    assert types_without_timers(supervisor.restart(5)) == [Stop]
    assert types_without_timers(supervisor.restart(6)) == []
    assert types_without_timers(supervisor.exited(7, "exit 0")) == [Start]
    assert supervisor.total_crashes == 0


def test_a_stop_cancels_a_pending_start():
    supervisor = running()
    supervisor.restart(5)
    supervisor.stop(6)
    assert supervisor.exited(7, "exit 0") == []
    assert supervisor.state is State.STOPPED
    supervisor = running()
    supervisor.exited(1, "exit 1")
    assert supervisor.stop(2) == []
    assert supervisor.state is State.STOPPED
    assert supervisor.tick(10 * SECOND_US) == []


class AnyProcess(RuleBasedStateMachine):
    """A process that does what it likes, under orders that come as they like."""

    def __init__(self) -> None:
        super().__init__()
        self.supervisor, self.now, self.alive, self.due = Supervisor(), 0, False, None

    def do(self, actions):
        for action in actions:
            if isinstance(action, Start):
                assert not self.alive, "two processes at once"
                self.alive = True
            elif isinstance(action, SetTimer):
                self.due = action.at
            else:
                assert self.alive, "nothing to end"

    @rule(what=st.sampled_from(["start", "stop", "restart"]))
    def order(self, what):
        self.do(getattr(self.supervisor, what)(self.now))

    @precondition(lambda self: self.alive)
    @rule()
    def is_ready(self):
        self.do(self.supervisor.ready(self.now))

    @precondition(lambda self: self.alive)
    @rule()
    def ends(self):
        self.alive = False
        self.do(self.supervisor.exited(self.now, "exit"))

    @rule(seconds=st.integers(1, 40))
    def wait(self, seconds):
        self.now += seconds * SECOND_US
        if self.due is not None and self.due <= self.now:
            self.due = None
            self.do(self.supervisor.tick(self.now))

    @invariant()
    def the_state_agrees_with_the_process(self):
        assert self.alive == (
            self.supervisor.state in (State.STARTING, State.RUNNING, State.STOPPING)
        )

    def teardown(self):
        """What is wanted comes about, if the process lets it."""
        for _ in range(6):
            if self.supervisor.state is State.STOPPING:
                self.ends()
            self.wait(40)
        assert self.alive == self.supervisor.should_run


AnyProcess.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestProcess = AnyProcess.TestCase
